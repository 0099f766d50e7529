// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playGang hands in a gang that needs more than all workers of its service have, and then a job of a queue with a
// lower priority that can be done.
func playGang(s *site) int {
	const jobs = 19 // beside the gang, which is 0.05 of all jobs of its queue
	s.workOf = func(string) (time.Duration, bool) { return ordinaryWork, false }
	s.configure(1, []string{"alpha"}, route{name: "urgent", service: "alpha", attempts: 4}, route{name: "settle", service: "alpha", attempts: 4, priority: 1})
	for i := range 8 {
		s.addMachine(fmt.Sprintf("m-%d", i+1), "alpha", "a", fmt.Sprintf("r1-%d", i/4+1))
	}
	s.open(3)
	ordinary := []map[string]any{{"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 300}}
	gang := []map[string]any{{"Count": 20, "Cpu": 8000, "MemMb": 2000, "EstimateMs": 2000, "GangScheduled": true}} // 160 cores of 128
	var calls sync.WaitGroup
	for i := range jobs {
		calls.Go(func() {
			s.submit(fmt.Sprintf("/urgent/%016x", 0x100000+i), map[string]any{"Spec": "check", "Steps": ordinary})
		})
		if i == jobs/2 && s.trouble {
			calls.Go(func() { s.submit("/urgent/bad0000000000001", map[string]any{"Spec": "check", "Steps": gang}) })
		}
		time.Sleep(burstTime / jobs)
	}
	calls.Wait()
	time.Sleep(4 * time.Second)
	const last = "/settle/5c0e7a21d94b36f8"
	s.log("the last job is handed in; all workers are idle: %s", s.idle())
	s.submit(last, map[string]any{"Spec": "settlement", "Steps": ordinary})
	accepted := time.Now()
	if s.awaitState(last, finishTime, "completed") != "completed" {
		s.log("%s after it was accepted, with no other call since, the job is shown as %q", finishTime, s.state(s.nodes[1], last))
	}
	state := s.awaitState(last, 40*time.Second, "completed", "failed")
	s.logEvents()
	waited, started := time.Since(accepted), false
	for _, e := range s.events.all() {
		if e.what == "start" && strings.HasPrefix(e.task, strings.TrimPrefix(last, "/settle/")) {
			waited, started = e.at.Sub(accepted), true
			break
		}
	}
	s.log("the job is shown as %q; it had nothing running for %s (started: %v), with all workers idle; no more than %s are allowed", state, waited, started, idleLimit)
	used := s.mostUsed(accepted, 500)
	s.log("at most %.3f of the service's processors were in use meanwhile; under 0.5 the rule applies", used)
	if waited > finishTime && used < 0.5 {
		return broken
	}
	return held
}

// idle says how many runs each worker has.
func (s *site) idle() string {
	var list []string
	for _, m := range s.machines {
		if w := s.workerOf(m); w != nil {
			w.mu.Lock()
			list = append(list, fmt.Sprintf("%s %d", w.id, len(w.runs)))
			w.mu.Unlock()
		}
	}
	return strings.Join(list, ", ")
}
