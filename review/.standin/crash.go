//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	crashes    = 4
	crashAfter = time.Second             // from the start of the task, at least
	downFor    = 4500 * time.Millisecond // for_s of srv_crash in the site file
	// crashAmong is how many workers of the service are up at least when one of them crashes: 1 of 8 is 0.125,
	// and share of srv_crash is 0.14 in the site file.
	crashAmong = 8
)

// up returns how many workers of a service are up.
func (m *machines) up(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, c := range m.list {
		if c.pool == service && c.state == "up" {
			n++
		}
	}
	return n
}

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
	up := m.up(victim.service)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.list[victim.machine]
	if up < crashAmong || c.worker != victim || c.state != "up" {
		return false
	}
	m.rec.log("worker %s on machine %s crashes, one of %d workers of the service that are up; it is down for %s", victim.id, c.name, up, downFor)
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

// playCrash: a service runs a job of eight tasks that last, one on a worker, and a job of one task of 5 s. The
// worker that runs the latter crashes four times, a second after its start; nothing else goes wrong.
func playCrash(s *site, trouble bool) error {
	const id, lasting, prefix, lastingPrefix = "2f0b77c4519ea3d8", "7d11c09be64f2a35", "/puxa400/", "/tije37/"
	queue := route{name: "r-k9m68k7", prefix: prefix, service: services[0], maxAttempts: 2}
	feed := route{name: "r-8nbkxxm", prefix: lastingPrefix, service: services[0], maxAttempts: 2}
	other := route{name: "r-yj8pjbv", prefix: "/bobo563/lo7/", service: services[1], maxAttempts: 2}
	for i := range 6 {
		if err := s.machines.add(fmt.Sprintf("m-%s-%d", services[0], i+4), services[0], zones[i%3]); err != nil {
			return err
		}
		if err := s.machines.add(fmt.Sprintf("m-%s-%d", headroom, i+3), headroom, zones[i%3]); err != nil {
			return err
		}
	}
	if err := startSite(s, queue, feed, other); err != nil {
		return err
	}
	s.expect(lasting, behaviour{spec: "listen", limit: 0})
	if err := submit(s, s.nodes[0], lastingPrefix+lasting, job{Spec: "listen", Steps: []step{{Count: 8, Cpu: 1500, MemMb: 3400, EstimateMs: 900, AntiAffinity: 1, LongRunning: true}}}); err != nil {
		return err
	}
	if !wait(15*time.Second, func() bool { return allStarted(s, lasting, 8) }) {
		return fmt.Errorf("the tasks that last did not start")
	}
	time.Sleep(4 * time.Second)
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
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if trouble && n < crashes && wait(15*time.Second, func() bool { return starts() > n }) {
			time.Sleep(crashAfter)
			if wait(3*time.Second, func() bool { return s.machines.crash(task) }) {
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
