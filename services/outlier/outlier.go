// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package outlier

import (
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// The policy: after this many consecutive failures a target is ejected, for a time that grows by a
// half with each failed trial. A target that has recovered is therefore in use again after at most
// half of the time for which it failed.
const (
	consecutiveFailures = 5
	firstEjection       = 250 * time.Millisecond
	longestEjection     = 30 * time.Second
	ejectionGrowth      = 1.5
	latencyWeight       = 0.1
)

// Detector ejects targets by the outcomes of their requests; its zero value is ready for use.
type Detector struct {
	Clock clock.Clock
	// Peers returns the targets of the same pool as a target, including itself; nil for none.
	Peers func(worker string) []string

	mu      sync.Mutex
	targets map[string]*targetRecord
}

type targetRecord struct {
	failures   int
	ejectedFor time.Duration // duration of the latest ejection, 0 while in use
	until      time.Time
	onTrial    bool // one request is in flight to test the target
	latency    time.Duration
}

func (w *Detector) get(worker string) *targetRecord {
	if w.targets == nil {
		w.targets = make(map[string]*targetRecord)
	}
	r, ok := w.targets[worker]
	if !ok {
		r = &targetRecord{}
		w.targets[worker] = r
	}
	return r
}

// MayUse reports whether a request may be sent to a target.
func (w *Detector) MayUse(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.get(worker)
	if r.ejectedFor == 0 {
		return true
	}
	return !r.onTrial && !w.Clock.Now().Before(r.until)
}

// RecordStart records that a request is sent to a target; an ejected target is then on trial.
func (w *Detector) RecordStart(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.get(worker); r.ejectedFor > 0 {
		r.onTrial = true
	}
}

// RecordSuccess records a response and its time.
func (w *Detector) RecordSuccess(worker string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.get(worker)
	r.failures, r.ejectedFor, r.onTrial = 0, 0, false
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += time.Duration(latencyWeight * float64(took-r.latency))
}

// RecordFailure records a failure, and ejects the target after several in a row, but never more
// than half of the targets of a pool.
func (w *Detector) RecordFailure(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.get(worker)
	r.failures++
	r.onTrial = false
	if r.ejectedFor > 0 {
		r.ejectedFor = min(time.Duration(ejectionGrowth*float64(r.ejectedFor)), longestEjection)
		r.until = w.Clock.Now().Add(r.ejectedFor)
		return
	}
	if r.failures >= consecutiveFailures && w.mayEject(worker) {
		r.ejectedFor = firstEjection
		r.until = w.Clock.Now().Add(r.ejectedFor)
	}
}

// RecordInconclusive records the end of a request whose outcome says nothing about the target.
func (w *Detector) RecordInconclusive(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.get(worker).onTrial = false
}

func (w *Detector) mayEject(worker string) bool {
	if w.Peers == nil {
		return true
	}
	peers := w.Peers(worker)
	ejected := 0
	for _, p := range peers {
		if w.get(p).ejectedFor > 0 {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(peers)
}

// Latency returns the average response time of a target, 0 if unknown.
func (w *Detector) Latency(worker string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.get(worker).latency
}

// Ejected returns the ejected targets and the times until which they are ejected.
func (w *Detector) Ejected() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := make(map[string]time.Time)
	for worker, r := range w.targets {
		if r.ejectedFor > 0 {
			m[worker] = r.until
		}
	}
	return m
}
