// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package silence

import (
	"sync"
	"time"
)

// Limits on retries.
const (
	// minRetryDelay is the least time without a response after which a call is retried over
	// a new connection: the store and workers respond within 5 ms, nodes that are short of
	// CPU time within 0.1 s, and the shortest timeout of a call is 0.4 s.
	minRetryDelay = 200 * time.Millisecond
	// delayFactor is how many times the average response time is waited for, so that an
	// endpoint that has become slow does not get every call twice.
	delayFactor = 4
	// averageWeight is the weight of the newest response in the average response time.
	averageWeight = 0.3
	// sampleInterval means that one in so many responses is timed: with averageWeight, the
	// average follows an endpoint that becomes slow within about twenty calls.
	sampleInterval = 8
	// budgetPerResponse is how much of a retry each response adds to the budget: at most a
	// tenth more calls, however slow the endpoint is.
	budgetPerResponse = 0.1
	// maxBudget is how many retries may follow one another: as many as a node has calls in
	// progress to one endpoint.
	maxBudget = 12
)

// RetryPolicy decides when calls to one endpoint are retried over a new connection; its
// zero value is ready for use.
type RetryPolicy struct {
	mu        sync.Mutex
	average   time.Duration // response time
	spent     float64       // retries that responses have not made up for yet
	responses uint64
}

// RetryDelay returns how long to wait for a response on a reused connection before a retry.
func (r *RetryPolicy) RetryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(minRetryDelay, delayFactor*r.average)
}

// RecordResponse records the response to a call that was sent at the given time; serverWait
// is how long the server was asked to delay the response. Only some calls are timed,
// because reading the clock is costly.
func (r *RetryPolicy) RecordResponse(began time.Time, serverWait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(r.spent-budgetPerResponse, 0)
	r.responses++
	if r.responses%sampleInterval == 1 {
		r.recordDuration(max(time.Since(began)-serverWait, 0))
	}
}

// RecordRetryResponse records the response to a retried call. If it took as long again, the
// endpoint is slow, and the next calls wait for it.
func (r *RetryPolicy) RecordRetryResponse(began time.Time, serverWait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	duration := max(time.Since(began)-serverWait, 0)
	if duration > minRetryDelay/2 {
		r.average = max(r.average, duration)
		return
	}
	r.recordDuration(duration)
}

// recordDuration updates the average response time. The caller holds r.mu.
func (r *RetryPolicy) recordDuration(duration time.Duration) {
	if r.average == 0 {
		r.average = duration
	}
	r.average += time.Duration(averageWeight * float64(duration-r.average))
}

// Spend takes one retry from the budget, and reports whether there was one.
func (r *RetryPolicy) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spent+1 > maxBudget {
		return false
	}
	r.spent++
	return true
}
