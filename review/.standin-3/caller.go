// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as callers send it.
type step struct {
	Count           int   `json:"Count"`
	Cpu             int   `json:"Cpu"`
	MemMb           int   `json:"MemMb"`
	EstimateMs      int64 `json:"EstimateMs"`
	After           []int `json:"After,omitempty"`
	GangScheduled   bool  `json:"GangScheduled,omitempty"`
	Checkpointing   bool  `json:"Checkpointing,omitempty"`
	AllowDuplicates bool  `json:"AllowDuplicates,omitempty"`
	AntiAffinity    int   `json:"AntiAffinity,omitempty"`
	LongRunning     bool  `json:"LongRunning,omitempty"`

	takes time.Duration // of a task on a sound worker
}

// job is a job that a caller sends, and what was seen of it.
type job struct {
	Spec        string `json:"Spec"`
	Steps       []step `json:"Steps"`
	RepeatCount int    `json:"RepeatCount,omitempty"`
	StartAtMs   int64  `json:"StartAtMs,omitempty"`
	IntervalMs  int64  `json:"IntervalMs,omitempty"`

	id, queue string
	fails     bool // its tasks always fail
	hopeless  bool // it can never be done
	accepted  time.Time
	refused   bool
	waiting   time.Time       // since when it has nothing running though its turn has come and there is room, zero for not
	lost      bool            // that was reported
	done      map[string]bool // tasks
	failures  int             // ends as failed
	started   int
	alone     []time.Time // ends of members of a gang that waited for the others in vain
	state     string      // as shown last
}

// pool returns the service whose workers run the job.
func (j *job) pool() string { return strings.TrimPrefix(j.queue, "long-") }

// noteStart notes that a task has begun. The site's lock is held.
func (j *job) noteStart() { j.started++ }

// noteEnd notes the end of a run. The site's lock is held.
func (j *job) noteEnd(r *running, how string) {
	switch how {
	case "done":
		j.done[r.task] = true
	case "failed":
		j.failures++
	case "alone":
		j.alone = append(j.alone, time.Now())
	}
}

// newJob returns a job, which is known to the workers from now on.
func (s *site) newJob(queue string, steps ...step) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := &job{Spec: fmt.Sprintf("work %d", len(s.jobs)), Steps: steps, id: fmt.Sprintf("%016x", 0x5eed0000+len(s.jobs)), queue: queue, done: make(map[string]bool)}
	for i := range j.Steps {
		j.Steps[i].EstimateMs = j.Steps[i].takes.Milliseconds()
	}
	s.jobs[j.id] = j
	return j
}

// callLimit is how long a caller waits for an answer.
const callLimit = 3 * time.Second

var client = &http.Client{Timeout: callLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call makes a call about a job at a node and returns the answer's status, 0 for none, and its body.
func (s *site) call(n *node, method string, j *job, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+n.front+"/"+j.queue+"/"+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = "calls.example"
	if len(body) > 0 {
		s.record("%s %s sent to %s: %s", method, j.id, n.name, body)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Yardbridge-Deadline-Ms", strconv.FormatInt(callLimit.Milliseconds(), 10))
	a, err := client.Do(r)
	if err != nil {
		s.record("%s %s at %s: %v", method, j.id, n.name, err)
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	data, _ := io.ReadAll(a.Body) // a broken body is an empty one
	s.record("%s %s at %s: %d %s", method, j.id, n.name, a.StatusCode, strings.TrimSpace(string(data)))
	return a.StatusCode, data
}

// up returns the nodes whose processes run, beginning with the one of a number.
func (s *site) up(from int) []*node {
	var list []*node
	for i := range s.nodes {
		n := s.nodes[(from+i)%len(s.nodes)]
		select {
		case <-n.ended:
		default:
			list = append(list, n)
		}
	}
	return list
}

// submit hands a job in, at another node after each answer that leaves it open, and reports whether it was accepted.
func (s *site) submit(j *job, from int) bool {
	body, _ := json.Marshal(j)
	for try := range 5 {
		nodes := s.up(from + try)
		if len(nodes) == 0 {
			return false
		}
		switch status, _ := s.call(nodes[0], http.MethodPost, j, body); {
		case status >= 200 && status < 300:
			s.mu.Lock()
			j.accepted = time.Now()
			s.mu.Unlock()
			return true
		case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusNotFound, status == http.StatusBadRequest:
			s.mu.Lock()
			j.refused = try == 0
			s.mu.Unlock()
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// ask asks for a job's state, at another node until there is an answer.
func (s *site) ask(j *job, from int) string {
	for try := range 3 {
		nodes := s.up(from + try)
		if len(nodes) == 0 {
			return ""
		}
		status, data := s.call(nodes[0], http.MethodGet, j, nil)
		var a struct{ State string }
		if status == http.StatusOK && json.Unmarshal(data, &a) == nil {
			s.mu.Lock()
			j.state = a.State
			s.mu.Unlock()
			return a.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}
