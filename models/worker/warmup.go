// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import "time"

// WithWarmUp returns the entry, read now, with the time at which its worker will be warm by this node's
// clock, or has become warm. The entry read before, if there is one, bounds it: an entry that is read
// again, or that was written for another reason, does not prolong the warm-up. A worker whose remaining
// time has risen since has turned cold again, and a restart under the same ID begins anew.
func (w Worker) WithWarmUp(before *Worker, now time.Time) Worker {
	w.ColdSince, w.WarmAt = time.Time{}, time.Time{}
	known := before != nil && before.StartedAt == w.StartedAt
	switch {
	case !known && w.WarmUp <= 0:
	case !known || w.WarmUp > before.WarmUp && w.Revision >= before.Revision:
		w.ColdSince, w.WarmAt = now, now.Add(w.WarmUp)
	case !before.WarmAt.IsZero():
		w.ColdSince, w.WarmAt = before.ColdSince, before.WarmAt
		if warmAt := now.Add(w.WarmUp); warmAt.Before(w.WarmAt) {
			w.WarmAt = warmAt
		}
	}
	return w
}

// Cold reports whether the worker is slow from its start.
func (w *Worker) Cold(now time.Time) bool { return now.Before(w.WarmAt) }

// Warmth returns the part of its warm-up that is over: 0 at its start, 1 once it is warm.
func (w *Worker) Warmth(now time.Time) float64 {
	if !w.Cold(now) {
		return 1
	}
	return float64(now.Sub(w.ColdSince)) / float64(w.WarmAt.Sub(w.ColdSince))
}
