// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the scripts that this program can play.
var cases = map[string]func(s *site, trouble bool) error{
	"advice": playAdvice,
	"crash":  playCrash,
	"gang":   playGang,
}

func main() { os.Exit(run()) }

// run plays a case in a folder and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE DIRECTORY")
		return 2
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		s.fail("interrupted")
		os.Exit(s.end())
	}()
	if err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0"); err != nil {
		s.fail("%v", err)
	}
	return s.end()
}

// open starts a small deployment: nodes, and machines of each pool.
func (s *site) open(nodes, machines int, pools ...string) error {
	for _, p := range pools {
		s.addMachines(p, machines)
	}
	s.configure(1, pools...)
	if err := s.addNodes(nodes); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if err := s.start(n); err != nil {
			return err
		}
	}
	if s.awaitReady() {
		time.Sleep(6 * time.Second) // until the nodes have shared the pools out, and everything is calm
	}
	return nil
}

// playAdvice hands in one scheduled job that can never be done, in a queue with advice, among jobs that can.
func playAdvice(s *site, trouble bool) error {
	if err := s.serveAdvice(&advice{pool: "estates", decide: 20 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second}); err != nil {
		return err
	}
	if err := s.open(3, 6, "estates", "offices"); err != nil || len(s.broken) > 0 {
		return err
	}
	const jobs, gap = 60, 400 * time.Millisecond
	begin := time.Now()
	go s.watchLost(begin.Add(jobs * gap))
	for i := range jobs {
		if i == 10 && trouble {
			gang := step{Count: 25, Cpu: 8000, MemMb: 200, GangScheduled: true, takes: 500 * time.Millisecond} // 12 of them fit in the pool
			j := s.newJob("estates", gang, gang, gang, gang)
			j.hopeless, j.RepeatCount, j.IntervalMs, j.StartAtMs = true, 60, 100, time.Now().UnixMilli()
			go s.submit(j, i)
		}
		short := step{Count: 2, Cpu: 500, MemMb: 100, takes: 400 * time.Millisecond}
		then := short
		then.After = []int{0}
		j := s.newJob("estates", short, then)
		go s.submit(j, i)
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * gap)))
	}
	s.mu.Lock()
	s.record("%d calls for advice in %s", s.advice.calls, time.Since(begin))
	s.mu.Unlock()
	return nil
}

// playCrash crashes the worker that runs a long task, one worker at a time.
func playCrash(s *site, trouble bool) error {
	if err := s.open(3, 9, "estates", "offices"); err != nil || len(s.broken) > 0 {
		return err
	}
	j := s.newJob("estates", step{Count: 1, Cpu: 2000, MemMb: 500, takes: 12 * time.Second})
	if !s.submit(j, 0) {
		return fmt.Errorf("the job was not accepted")
	}
	crashes, last := 0, time.Time{}
	for until := time.Now().Add(95 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if w := s.runner(j); trouble && crashes < 4 && w != nil && time.Since(last) > 6*time.Second {
			crashes, last = crashes+1, time.Now()
			s.crash(w, 4500*time.Millisecond)
		}
		if state := s.ask(j, int(time.Now().Unix())); state == "completed" || state == "failed" || state == "cancelled" || state == "gone" {
			s.mu.Lock()
			if state != "completed" && j.failures == 0 {
				s.violation("LOST: the job is shown as %s; no run of its task has ended as failed, and nobody has cancelled it", state)
			}
			s.mu.Unlock()
			return nil
		}
	}
	s.fail("the job has not ended")
	return nil
}

// runner returns the worker on which a task of a job has run for three seconds, nil for none.
func (s *site) runner(j *job) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers() {
		for _, r := range w.runs {
			if r.job == j && time.Since(r.began) >= 3*time.Second {
				return w
			}
		}
	}
	return nil
}

// playGang crashes one worker under a gang that checkpoints its progress.
func playGang(s *site, trouble bool) error {
	if err := s.open(3, 9, "estates", "offices"); err != nil || len(s.broken) > 0 {
		return err
	}
	j := s.newJob("estates", step{Count: 4, Cpu: 9000, MemMb: 500, GangScheduled: true, Checkpointing: true, takes: 12 * time.Second}) // one a worker
	if !s.submit(j, 0) {
		return fmt.Errorf("the job was not accepted")
	}
	var crashed time.Time
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if w := s.runner(j); trouble && crashed.IsZero() && w != nil {
			crashed = time.Now()
			s.crash(w, 4500*time.Millisecond)
		}
		if state := s.ask(j, int(time.Now().Unix())); state == "completed" || state == "failed" || state == "cancelled" || state == "gone" {
			if state != "completed" {
				return fmt.Errorf("the job is shown as %s", state)
			}
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	calm := crashed.Add(4500*time.Millisecond + 3*time.Second + 5*time.Second) // the worker is back, ContactMs, and five seconds more
	late := 0
	for _, at := range j.alone {
		if at.After(calm) {
			late++
		}
	}
	if late > 0 {
		s.violation("GANG: %d runs of the gang have ended alone later than 5 s after the last disruption was over for ContactMs; the job is shown as %q", late, j.state)
	}
	return nil
}
