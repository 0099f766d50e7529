//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	crashes    = 4
	crashAfter = time.Second             // from the start of the task
	downFor    = 4500 * time.Millisecond // for_s of srv_crash in the site file
)

// crash ends the worker that runs a task without a word, and starts another one on its machine after downFor.
func (m *machines) crash(task string) bool {
	m.obs.mu.Lock()
	var victim *worker
	for w := range m.obs.task(task).running {
		victim = w
	}
	m.obs.mu.Unlock()
	if victim == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.list[victim.machine]
	if c.worker != victim || c.state != "up" {
		return false
	}
	m.rec.log("worker %s on machine %s crashes; it is down for %s", victim.id, c.name, downFor)
	c.state = "down"
	victim.leave()
	time.AfterFunc(downFor, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		c.state = "up"
		_ = m.boot(c)
	})
	return true
}

// playCrash: a job of one task of 5 s. The worker that runs it crashes four times, a second after the start;
// nothing else goes wrong, and eight other workers of the service are up and empty.
func playCrash(s *site, trouble bool) error {
	const id, prefix = "2f0b77c4519ea3d8", "/puxa400/"
	queue := route{name: "r-k9m68k7", prefix: prefix, service: services[0], maxAttempts: 2}
	other := route{name: "r-yj8pjbv", prefix: "/bobo563/lo7/", service: services[1], maxAttempts: 2}
	for i := range 6 {
		if err := s.machines.add(fmt.Sprintf("m-%s-%d", services[0], i+4), services[0], zones[i%3]); err != nil {
			return err
		}
	}
	if err := startSite(s, queue, other); err != nil {
		return err
	}
	s.expect(id, behaviour{spec: "settle the deposits", work: 5 * time.Second, limit: 2})
	if err := submit(s, s.nodes[0], prefix+id, job{Spec: "settle the deposits", Steps: []step{{Count: 1, Cpu: 1900, MemMb: 3500, EstimateMs: 5000}}}); err != nil {
		return err
	}
	task, shown, n := id+".0.0.0", "", 0
	starts := func() int {
		s.obs.mu.Lock()
		defer s.obs.mu.Unlock()
		return s.obs.task(task).starts
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if trouble && n < crashes && wait(12*time.Second, func() bool { return starts() > n }) {
			time.Sleep(crashAfter)
			if s.machines.crash(task) {
				n++
			}
		}
		_, shown = s.call(s.nodes[n%3], "GET", prefix+id, nil)
		if strings.Contains(shown, "completed") || strings.Contains(shown, "failed") {
			break
		}
	}
	s.obs.mu.Lock()
	defer s.obs.mu.Unlock()
	t := s.obs.task(task)
	s.rec.log("%d workers crashed; the task was started %d times; ends \"failed\": %d; the job is shown as %s", n, t.starts, t.failedNoted, shown)
	if strings.Contains(shown, "failed") && t.failedNoted == 0 {
		s.obs.breaks("LOST", "accepted job %s is shown as failed, and none of its runs has ended \"failed\"; MaxAttempts is 2", id)
	}
	return nil
}
