// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import "sync"

// The retry budget: a tenth of the requests, and a few more in advance.
const (
	retryShare   = 0.1
	retryReserve = 3
)

// retryBudget limits retries to a small share of the requests; its zero value is full.
type retryBudget struct {
	mu    sync.Mutex
	spent float64
}

// addRequest records a request.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-retryShare, 0)
}

// takeRetry reports whether one more retry is allowed, and counts it.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}
