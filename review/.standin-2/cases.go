// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// cutTime is for how long workers are cut off.
const cutTime = 3 * time.Second

// playEnds has many small tasks of one step end on a worker while it is cut off, more than one of its lists names.
func playEnds(s *site) int {
	const tasks, work, apart = 700, 6 * time.Second, 3 * time.Millisecond
	s.workOf = func(task string) (time.Duration, bool) {
		_, index := taskStep(task)
		return work + time.Duration(index)*apart, false
	}
	s.configure(1, []string{"alpha"}, route{name: "settle", service: "alpha", attempts: 4})
	var machines []*machine
	for i := range 6 {
		machines = append(machines, s.addMachine(fmt.Sprintf("m-%d", i+1), "alpha", "a", fmt.Sprintf("r1-%d", i/4+1)))
	}
	s.open(3)
	path := "/settle/5c0e7a21d94b36f8"
	s.submit(path, map[string]any{"Spec": "settlement", "Steps": []map[string]any{{"Count": tasks, "Cpu": 20, "MemMb": 20, "EstimateMs": 6000}}})
	first := s.awaitStarts(tasks, 15*time.Second)
	if s.trouble {
		if !sleep(context.Background(), time.Until(first.Add(work-200*time.Millisecond))) {
			return failed
		}
		w := s.busiest(machines)
		w.setCut(true)
		s.log("%s on %s is cut off", w.id, w.machine.name)
		time.Sleep(cutTime)
		w.setCut(false)
		s.log("%s is reached again", w.id)
	}
	state := s.awaitState(path, 40*time.Second, "completed", "failed")
	time.Sleep(3 * time.Second)
	s.logEvents()
	if state != "completed" {
		s.log("the job is shown as %q at the end", state)
	}
	return s.checkTwice()
}

// awaitStarts waits until tasks have started, and returns when the first did.
func (s *site) awaitStarts(tasks int, limit time.Duration) time.Time {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		started := make(map[string]bool)
		list := s.events.all()
		for _, e := range list {
			if e.what == "start" {
				started[e.task] = true
			}
		}
		if len(started) >= tasks {
			s.log("%d tasks have started within %s", tasks, time.Since(list[0].at))
			return list[0].at
		}
	}
	giveUp("not all tasks have started")
	return time.Time{}
}

// busiest returns the worker with the most runs.
func (s *site) busiest(machines []*machine) *worker {
	var best *worker
	most := -1
	for _, m := range machines {
		w := s.workerOf(m)
		w.mu.Lock()
		n := len(w.runs)
		w.mu.Unlock()
		s.log("%s on %s has %d runs", w.id, m.name, n)
		if n > most {
			best, most = w, n
		}
	}
	return best
}

// logEvents writes what the workers saw to the record.
func (s *site) logEvents() {
	for _, e := range s.events.all() {
		_, _ = fmt.Fprintf(s.record, "%8.3f  worker %s: %s %s run %d (%d)\n", e.at.Sub(s.began).Seconds(), e.worker, e.what, e.task, e.run, e.sequence)
	}
}

// checkTwice checks the rule TWICE: no two runs of one task at once, and no start after a run has ended done, if that
// end is taken note of while the worker's lease has not lapsed in between.
func (s *site) checkTwice() int {
	type state struct {
		running map[string]bool
		done    time.Time // of the first end done that counts
		by      string
	}
	list := s.events.all()
	sort.SliceStable(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	counts := make(map[string]bool) // ends that are taken note of
	for _, e := range list {
		if e.what == "noted" && !e.void {
			counts[fmt.Sprint(e.worker, " ", e.sequence)] = true
		}
	}
	tasks := make(map[string]*state)
	found := 0
	for _, e := range list {
		t := tasks[e.task]
		if t == nil {
			t = &state{running: make(map[string]bool)}
			tasks[e.task] = t
		}
		name := fmt.Sprint(e.worker, " run ", e.run)
		switch e.what {
		case "noted":
		case "start":
			if !t.done.IsZero() {
				found++
				s.log("TWICE: %s starts on %s %s after %s had ended done", e.task, name, e.at.Sub(t.done), t.by)
			} else if len(t.running) > 0 {
				found++
				s.log("TWICE: %s starts on %s while it runs on %v", e.task, name, t.running)
			}
			t.running[name] = true
		default:
			delete(t.running, name)
			if e.what == "done" && t.done.IsZero() && counts[fmt.Sprint(e.worker, " ", e.sequence)] {
				t.done, t.by = e.at, name
			}
		}
	}
	s.log("TWICE: %d", found)
	if found > 0 {
		return broken
	}
	return held
}

// mostUsed returns the largest share of the service's processors that was in use at once since a time, by tasks that
// each ask for some thousandths of a core.
func (s *site) mostUsed(since time.Time, cpu int) float64 {
	total := 0
	for _, m := range s.machines {
		total += m.capacity().Cpu
	}
	runs, most := 0, 0
	for _, e := range s.events.all() {
		if e.at.After(since) {
			most = max(most, runs)
		}
		switch e.what {
		case "noted":
		case "start":
			runs++
		default:
			runs--
		}
		if e.at.After(since) {
			most = max(most, runs)
		}
	}
	return float64(max(most, runs)*cpu) / float64(total)
}
