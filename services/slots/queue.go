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
	class    manifest.Class
	deadline time.Time
	avoid    string        // worker on which the request failed, empty for none
	grant    chan *Slot    // gets the slot; holds one
	shed     chan struct{} // closed when the request is given up on
	comeBack time.Duration // when to ask again, set before shed is closed
	gone     bool          // the request waits no more
}

// queue holds the waiting requests of one pool, interactive ones first.
type queue struct {
	interactive []*waiter
	batch       []*waiter
	choosy      []*waiter // repeats that leave slots of the target that failed them to others
}

// len returns how many requests wait for a slot of any target.
func (q *queue) len() int { return len(q.interactive) + len(q.batch) }

// all returns how many requests wait.
func (q *queue) all() int { return q.len() + len(q.choosy) }

func (q *queue) add(w *waiter) {
	if w.class == manifest.Batch {
		q.batch = append(q.batch, w)
		return
	}
	q.interactive = append(q.interactive, w)
}

// next takes the first request that is still in time, nil for none; those that
// are not get their answer from their own timers.
func (q *queue) next(now time.Time) *waiter {
	for _, line := range []*[]*waiter{&q.interactive, &q.batch} {
		for len(*line) > 0 {
			w := (*line)[0]
			*line = (*line)[1:]
			if !w.gone && now.Before(w.deadline) {
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
	w.gone = true
	q.interactive = without(q.interactive, w)
	q.batch = without(q.batch, w)
	q.choosy = without(q.choosy, w)
}

// avoided returns the worker on which the first choosy request has failed,
// empty for none.
func (q *queue) avoided() string {
	if len(q.choosy) == 0 {
		return ""
	}
	return q.choosy[0].avoid
}

// settle has a choosy request take a slot of any target, as the next one.
func (q *queue) settle(w *waiter) {
	if slices.Contains(q.choosy, w) {
		q.choosy = without(q.choosy, w)
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

// shedOldest gives up on the request of a line that has waited longest, and
// reports whether there was one.
func shedOldest(line *[]*waiter, comeBack time.Duration) bool {
	if len(*line) == 0 {
		return false
	}
	w := (*line)[0]
	*line = (*line)[1:]
	w.gone = true
	w.comeBack = comeBack
	close(w.shed)
	return true
}
