// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
)

// waiter is one request that waits for a slot.
type waiter struct {
	class      manifest.Class
	deadline   time.Time
	avoid      string        // worker on which the request failed, empty for none
	grant      chan *Slot    // receives the slot; has a buffer of one
	shed       chan struct{} // closed when the request is dropped
	retryAfter time.Duration // time after which to retry, set before shed is closed
	removed    bool          // no longer waiting
}

// queue holds the waiting requests of one pool, interactive ones first.
type queue struct {
	interactive []*waiter
	batch       []*waiter
	avoiding    []*waiter // retries that leave the slots of the target that failed them to other requests
}

// len returns the number of requests that wait for a slot of any target.
func (q *queue) len() int { return len(q.interactive) + len(q.batch) }

// all returns the number of waiting requests.
func (q *queue) all() int { return q.len() + len(q.avoiding) }

func (q *queue) add(w *waiter) {
	if w.class == manifest.Batch {
		q.batch = append(q.batch, w)
		return
	}
	q.interactive = append(q.interactive, w)
}

// next removes and returns the first request whose deadline has not passed, nil for none. The
// others end by their own timers.
func (q *queue) next(now time.Time) *waiter {
	for _, line := range []*[]*waiter{&q.interactive, &q.batch} {
		for len(*line) > 0 {
			w := (*line)[0]
			*line = (*line)[1:]
			if !w.removed && now.Before(w.deadline) {
				return w
			}
		}
	}
	return nil
}

func (q *queue) putBack(w *waiter) {
	if w.class == manifest.Batch {
		q.batch = append([]*waiter{w}, q.batch...)
		return
	}
	q.interactive = append([]*waiter{w}, q.interactive...)
}

func (q *queue) remove(w *waiter) {
	w.removed = true
	q.interactive = without(q.interactive, w)
	q.batch = without(q.batch, w)
	q.avoiding = without(q.avoiding, w)
}

// avoided returns the worker on which the first avoiding request has failed, empty for none.
func (q *queue) avoided() string {
	if len(q.avoiding) == 0 {
		return ""
	}
	return q.avoiding[0].avoid
}

// stopAvoiding lets an avoiding request take a slot of any target, as the next one.
func (q *queue) stopAvoiding(w *waiter) {
	if slices.Contains(q.avoiding, w) {
		q.avoiding = without(q.avoiding, w)
		q.putBack(w)
	}
}

func without(line []*waiter, w *waiter) []*waiter {
	for i, o := range line {
		if o == w {
			return append(line[:i], line[i+1:]...)
		}
	}
	return line
}

// shedOldest drops the request of a line that has waited longest, and reports whether there was
// one.
func shedOldest(line *[]*waiter, retryAfter time.Duration) bool {
	if len(*line) == 0 {
		return false
	}
	w := (*line)[0]
	*line = (*line)[1:]
	w.removed = true
	w.retryAfter = retryAfter
	close(w.shed)
	return true
}
