// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package silence

import (
	"sync"
	"time"
)

// The bounds of repeats.
const (
	// leastPatience is the least time without an answer after which a call is made
	// again over a fresh connection: the store and workers answer within 5 ms, nodes
	// that are short of processor time within 0.1 s, and the shortest time limit of
	// a call is 0.4 s.
	leastPatience = 200 * time.Millisecond
	// patienceTimes is how many times the usual time of an answer is waited for: an
	// end that has become slow is not asked twice for everything.
	patienceTimes = 4
	// usualShare is how much the newest answer counts for the usual time.
	usualShare = 0.3
	// timedOneIn is one in how many answered calls is timed: with the share above, the
	// usual time follows an end that becomes slow within some twenty calls.
	timedOneIn = 8
	// budgetShare is the share of a repeat that each answered call brings: a tenth
	// more calls at most, however slow the end is.
	budgetShare = 0.1
	// budgetMost is how many repeats may follow one another: as many as a node has
	// calls under way to one end.
	budgetMost = 12
)

// RetryPolicy decides when calls to one end are made again over a fresh connection; its
// zero value works.
type RetryPolicy struct {
	mu       sync.Mutex
	usual    time.Duration // that an answer takes
	spent    float64       // repeats that were not earned back yet
	answered uint64
}

// RetryDelay returns how long to wait for an answer on an older connection.
func (r *RetryPolicy) RetryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(leastPatience, patienceTimes*r.usual)
}

// RecordResponse notes that a call was answered which began at a time; held is for how long
// the far end was asked to hold the answer back. Only some calls are timed, since
// reading the clock costs.
func (r *RetryPolicy) RecordResponse(began time.Time, held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(r.spent-budgetShare, 0)
	r.answered++
	if r.answered%timedOneIn == 1 {
		r.took(max(time.Since(began)-held, 0))
	}
}

// RecordRetryResponse notes that a call was answered which had got no answer before: where it took as
// long again, the far end is slow, and the next calls wait for it.
func (r *RetryPolicy) RecordRetryResponse(began time.Time, held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := max(time.Since(began)-held, 0)
	if took > leastPatience/2 {
		r.usual = max(r.usual, took)
		return
	}
	r.took(took)
}

// took takes the time of an answer into the usual one. The lock is held.
func (r *RetryPolicy) took(took time.Duration) {
	if r.usual == 0 {
		r.usual = took
	}
	r.usual += time.Duration(usualShare * float64(took-r.usual))
}

// Spend takes one repeat off the budget, and reports whether there was one.
func (r *RetryPolicy) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spent+1 > budgetMost {
		return false
	}
	r.spent++
	return true
}
