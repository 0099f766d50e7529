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
	"gang":   playGang,
	"lost":   playLost,
	"wave":   playWave,
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
	if err := s.serveAdvice(&advice{queue: "estates", decide: 20 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second}); err != nil {
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

// Times of the case of the lost machine.
const (
	outage   = 1300 * time.Millisecond // that the machines are without power
	calmFrom = 20 * time.Second        // after the machines are back: RecoveryS, ContactMs, and five seconds more
	judged   = 25 * time.Second        // for how long the tasks that last are watched then
)

// playLost restarts all nodes in turn, has all of them lose power some seconds later, and one of them not come back.
func playLost(s *site, trouble bool) error {
	pools := []string{"estates", "offices", "fields", "banks", "ledgers"}
	if err := s.open(3, 3, pools...); err != nil || len(s.broken) > 0 {
		return err
	}
	var jobs []*job
	for i, p := range pools {
		j := s.newJob(p, step{Count: 2, Cpu: 1500, MemMb: 500, LongRunning: true, takes: time.Second})
		jobs = append(jobs, j)
		if !s.submit(j, i) {
			return fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	for _, n := range s.nodes {
		s.signal(n, syscall.SIGTERM)
		<-n.ended
		if err := s.start(n); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	if !s.awaitReady() {
		return nil
	}
	time.Sleep(5 * time.Second)
	for _, n := range s.nodes {
		s.signal(n, syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		<-n.ended
	}
	time.Sleep(outage)
	for i, n := range s.nodes {
		if i == 0 && trouble {
			continue // it is gone for good
		}
		if err := s.start(n); err != nil {
			return err
		}
	}
	back := time.Now()
	if trouble {
		time.Sleep(4 * time.Second)
		if err := s.addNodes(1); err != nil {
			return err
		}
		if err := s.start(s.nodes[len(s.nodes)-1]); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(back.Add(calmFrom)))
	s.watchLasting(jobs, back.Add(calmFrom+judged))
	for i, j := range jobs {
		if state := s.ask(j, i+1); state == "" {
			s.mu.Lock()
			s.violation("LOST: no answer in time about job %s of %s", j.id, j.queue)
			s.mu.Unlock()
		}
	}
	return nil
}

// watchLasting checks until a time that no task that lasts is away for 3 s.
func (s *site) watchLasting(jobs []*job, until time.Time) {
	away := make(map[string]time.Time)
	for time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		there := make(map[string]bool)
		for _, w := range s.workers() {
			for task := range w.runs {
				there[task] = true
			}
		}
		for _, j := range jobs {
			for i := range j.Steps[0].Count {
				task := fmt.Sprintf("%s.0.0.%d", j.id, i)
				if since, known := away[task]; there[task] {
					delete(away, task)
				} else if !known {
					away[task] = time.Now()
				} else if time.Since(since) >= lostAfter && !j.lost {
					j.lost = true
					s.violation("LOST: task %s of %s is to last and has not run for 3 s, with all other room free", task, j.queue)
				}
			}
		}
		s.mu.Unlock()
	}
}

// playWave has half of a service's machines be due for upkeep while each runs a long task, and hands in short jobs that the
// policy of their queue allows on one worker each.
func playWave(s *site, trouble bool) error {
	a := &advice{queue: "estates", onlyOne: true, decide: 5 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second}
	if err := s.serveAdvice(a); err != nil {
		return err
	}
	if err := s.open(3, 8, "estates"); err != nil || len(s.broken) > 0 {
		return err
	}
	long := s.newJob("long-estates", step{Count: 8, Cpu: 2000, MemMb: 500, AntiAffinity: 1, takes: 12 * time.Second})
	if !s.submit(long, 0) {
		return fmt.Errorf("the long job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		s.wave(1, 26*time.Second, 2, "m-estates-1", "m-estates-3", "m-estates-5", "m-estates-7")
	}
	go s.watchLost(time.Now().Add(25 * time.Second))
	for i := range 40 {
		j := s.newJob("estates", step{Count: 1, Cpu: 500, MemMb: 100, takes: 300 * time.Millisecond})
		go s.submit(j, i)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(9 * time.Second)
	return nil
}
