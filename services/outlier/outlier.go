// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package outlier

import (
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// The policy: after this many consecutive failures a target is ejected, for a time that grows by a
// half with each failed trial. A target that recovers is therefore in use again after at most about
// half of the time for which it had failed.
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

func (d *Detector) get(worker string) *targetRecord {
	if d.targets == nil {
		d.targets = make(map[string]*targetRecord)
	}
	r, ok := d.targets[worker]
	if !ok {
		r = &targetRecord{}
		d.targets[worker] = r
	}
	return r
}

// MayUse reports whether a request may be sent to a target.
func (d *Detector) MayUse(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.get(worker)
	if r.ejectedFor == 0 {
		return true
	}
	return !r.onTrial && !d.Clock.Now().Before(r.until)
}

// RecordStart records that a request is sent to a target; an ejected target is then on trial.
func (d *Detector) RecordStart(worker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.get(worker); r.ejectedFor > 0 {
		r.onTrial = true
	}
}

// RecordSuccess records a response and its time.
func (d *Detector) RecordSuccess(worker string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.get(worker)
	r.failures, r.ejectedFor, r.onTrial = 0, 0, false
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += time.Duration(latencyWeight * float64(took-r.latency))
}

// RecordFailure records a failure, and ejects the target after several in a row, but never more
// than half of the targets of a pool.
func (d *Detector) RecordFailure(worker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.get(worker)
	r.failures++
	r.onTrial = false
	if r.ejectedFor > 0 {
		r.ejectedFor = min(time.Duration(ejectionGrowth*float64(r.ejectedFor)), longestEjection)
		r.until = d.Clock.Now().Add(r.ejectedFor)
		return
	}
	if r.failures >= consecutiveFailures && d.mayEject(worker) {
		r.ejectedFor = firstEjection
		r.until = d.Clock.Now().Add(r.ejectedFor)
	}
}

// RecordInconclusive records the end of a request whose outcome says nothing about the target.
func (d *Detector) RecordInconclusive(worker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.get(worker).onTrial = false
}

func (d *Detector) mayEject(worker string) bool {
	if d.Peers == nil {
		return true
	}
	peers := d.Peers(worker)
	ejected := 0
	for _, p := range peers {
		if d.get(p).ejectedFor > 0 {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(peers)
}

// Latency returns the average response time of a target, 0 if unknown.
func (d *Detector) Latency(worker string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.get(worker).latency
}

// Ejected returns the ejected targets and the times until which they are ejected.
func (d *Detector) Ejected() map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := make(map[string]time.Time)
	for worker, r := range d.targets {
		if r.ejectedFor > 0 {
			m[worker] = r.until
		}
	}
	return m
}
