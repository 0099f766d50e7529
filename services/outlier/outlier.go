// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package outlier

import (
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// The policy: after so many failures in a row a target is set aside, for a
// time that grows by a half with each failed trial, so that a target which has
// recovered is in use again after half the time that it failed, at most.
const (
	failuresInRow = 5
	firstAside    = 250 * time.Millisecond
	longestAside  = 30 * time.Second
	asideGrowth   = 1.5
	latencyWeight = 0.1
)

// Detector judges targets by how their requests end; its zero value is ready.
type Detector struct {
	Clock clock.Clock
	// Peers returns the targets that serve the same as a target, itself
	// included; nil for none.
	Peers func(worker string) []string

	mu      sync.Mutex
	targets map[string]*record
}

type record struct {
	failures int
	aside    time.Duration // length of the newest time aside, 0 while in use
	until    time.Time
	trial    bool // one request is let through to try the target
	latency  time.Duration
}

func (w *Detector) get(worker string) *record {
	if w.targets == nil {
		w.targets = make(map[string]*record)
	}
	r, ok := w.targets[worker]
	if !ok {
		r = &record{}
		w.targets[worker] = r
	}
	return r
}

// MayUse reports whether a target may be given a request.
func (w *Detector) MayUse(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.get(worker)
	if r.aside == 0 {
		return true
	}
	return !r.trial && !w.Clock.Now().Before(r.until)
}

// RecordStart notes that a request goes to a target; one set aside is on trial.
func (w *Detector) RecordStart(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.get(worker); r.aside > 0 {
		r.trial = true
	}
}

// RecordSuccess notes an answer and how long it took.
func (w *Detector) RecordSuccess(worker string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.get(worker)
	r.failures, r.aside, r.trial = 0, 0, false
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += time.Duration(latencyWeight * float64(took-r.latency))
}

// RecordFailure notes a failure, and sets the target aside after some in a row; never
// more than half of those that serve the same.
func (w *Detector) RecordFailure(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.get(worker)
	r.failures++
	r.trial = false
	if r.aside > 0 {
		r.aside = min(time.Duration(asideGrowth*float64(r.aside)), longestAside)
		r.until = w.Clock.Now().Add(r.aside)
		return
	}
	if r.failures >= failuresInRow && w.maySetAside(worker) {
		r.aside = firstAside
		r.until = w.Clock.Now().Add(r.aside)
	}
}

// RecordInconclusive ends a request that says nothing of the target.
func (w *Detector) RecordInconclusive(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.get(worker).trial = false
}

func (w *Detector) maySetAside(worker string) bool {
	if w.Peers == nil {
		return true
	}
	peers := w.Peers(worker)
	aside := 0
	for _, p := range peers {
		if w.get(p).aside > 0 {
			aside++
		}
	}
	return 2*(aside+1) <= len(peers)
}

// Latency returns the usual time of a target's answers, 0 for not known.
func (w *Detector) Latency(worker string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.get(worker).latency
}

// Ejected returns the targets that are set aside and until when.
func (w *Detector) Ejected() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := make(map[string]time.Time)
	for worker, r := range w.targets {
		if r.aside > 0 {
			m[worker] = r.until
		}
	}
	return m
}
