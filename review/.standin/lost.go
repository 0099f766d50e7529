//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// The scheduled job of the case: each of its times has five steps of at most 32 tasks, as the largest jobs of
// the class deposit-settle have. Its second step needs a label that no worker has, so it can never be done.
const (
	scheduledTimes    = 400
	scheduledInterval = 150 * time.Millisecond
	scheduledWidth    = 32
)

func scheduledJob() job {
	j := job{Spec: "close the tills", RepeatCount: scheduledTimes, IntervalMs: scheduledInterval.Milliseconds(), StartAtMs: time.Now().Add(time.Second).UnixMilli()}
	j.Steps = append(j.Steps, step{Count: 4, Cpu: 100, MemMb: 64, EstimateMs: 200})
	for i := range 4 {
		j.Steps = append(j.Steps, step{Count: scheduledWidth, Cpu: 100, MemMb: 64, EstimateMs: 200, After: []int{i}, Requires: "no-such-kind"})
	}
	return j
}

// plain is an accepted job of two steps with one task each, the second after the first.
type plain struct {
	id        string
	cpu       int
	idleSince time.Time // since when the condition of LOST has held, zero for not
}

// watch checks the last condition of LOST for accepted jobs: for 3 s, a job has nothing running though a
// task's turn has come, there is capacity for it twice over, and under half of the service's capacity is in
// use.
type watch struct {
	s       *site
	service string

	mu    sync.Mutex
	jobs  []*plain
	quit  chan struct{}
	tasks sync.WaitGroup
}

const lostAfter = 3 * time.Second

func (w *watch) run() {
	defer w.tasks.Done()
	broken := make(map[string]bool)
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(100 * time.Millisecond):
		}
		now := time.Now()
		capacity, used := w.capacity()
		w.mu.Lock()
		for _, j := range w.jobs {
			task, idle := w.idle(j)
			free := capacity - used
			if !idle || free < 2*j.cpu || 2*used >= capacity {
				j.idleSince = time.Time{}
				continue
			}
			if j.idleSince.IsZero() {
				j.idleSince = now
			}
			if d := now.Sub(j.idleSince); d >= lostAfter && !broken[j.id] {
				broken[j.id] = true
				w.s.obs.mu.Lock()
				w.s.obs.breaks("LOST", "accepted job %s has had nothing running for %.1f s though the turn of %s has come; %d of %d thousandths of a core of the service are in use",
					j.id, d.Seconds(), task, used, capacity)
				w.s.obs.mu.Unlock()
			}
		}
		w.mu.Unlock()
	}
}

// idle returns the task whose turn has come if the job has nothing running.
func (w *watch) idle(j *plain) (string, bool) {
	w.s.obs.mu.Lock()
	defer w.s.obs.mu.Unlock()
	waiting := ""
	for i := range 2 {
		name := fmt.Sprintf("%s.0.%d.0", j.id, i)
		t := w.s.obs.task(name)
		if len(t.running) > 0 {
			return "", false
		}
		if !t.done && waiting == "" {
			waiting = name
		}
	}
	return waiting, waiting != ""
}

// capacity returns the processor capacity of the service's workers that are up, and what runs there use.
func (w *watch) capacity() (all, used int) {
	w.s.machines.mu.Lock()
	defer w.s.machines.mu.Unlock()
	for _, c := range w.s.machines.list {
		if c.pool != w.service || c.state != "up" {
			continue
		}
		all += workerCPU
		c.worker.mu.Lock()
		used += 100 * len(c.worker.runs) // each task of the case asks for a tenth of a core
		c.worker.mu.Unlock()
	}
	return all, used
}

// smallEach is the time between two small jobs. The scheduled job is one of more than twenty in its three
// seconds, as poison has share 0.05 for 3 s in the site file.
const smallEach = 125 * time.Millisecond

// playLost: clients send eight small jobs a second. One of them sends a scheduled job that can never be done.
func playLost(s *site, trouble bool) error {
	const prefix, scheduled = "/puxa400/", "9a417c02be5d1f36"
	queue := route{name: "r-k9m68k7", prefix: prefix, service: services[0], maxAttempts: 2}
	other := route{name: "r-yj8pjbv", prefix: "/bobo563/lo7/", service: services[1], maxAttempts: 2}
	if err := startSite(s, queue, other); err != nil {
		return err
	}
	w := &watch{s: s, service: services[0], quit: make(chan struct{})}
	w.tasks.Add(1)
	go w.run()
	var calls sync.WaitGroup
	for i := range 512 {
		if trouble && i == 12 {
			j := scheduledJob()
			s.expect(scheduled, behaviour{spec: j.Spec, work: 200 * time.Millisecond, limit: 2})
			if err := submit(s, s.nodes[0], prefix+scheduled, j); err != nil {
				return err
			}
		}
		id := fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+i)
		j := job{Spec: "settle " + id, Steps: []step{{Count: 1, Cpu: 100, MemMb: 64, EstimateMs: 2000}, {Count: 1, Cpu: 100, MemMb: 64, EstimateMs: 2000, After: []int{0}}}}
		s.expect(id, behaviour{spec: j.Spec, work: 2 * time.Second, limit: 2})
		calls.Go(func() {
			if status, _ := s.call(s.nodes[i%3], "POST", prefix+id, j); status == 200 {
				w.mu.Lock()
				w.jobs = append(w.jobs, &plain{id: id, cpu: 100})
				w.mu.Unlock()
			}
		})
		time.Sleep(smallEach)
	}
	calls.Wait()
	s.rec.log("the traffic has ended")
	time.Sleep(14 * time.Second) // finish_s
	close(w.quit)
	w.tasks.Wait()
	states := make(map[string]int)
	for i, j := range w.jobs {
		if i%40 > 0 && i < len(w.jobs)-40 {
			continue
		}
		_, text := s.call(s.nodes[i%3], "GET", prefix+j.id, nil)
		states[text]++
	}
	s.store.mu.Lock()
	s.rec.log("store: %d appends were refused for their size", s.store.tooLarge)
	s.store.mu.Unlock()
	s.rec.log("accepted jobs: %d; states of those that were asked for: %v", len(w.jobs), states)
	return nil
}
