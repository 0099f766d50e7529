// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// stage is the progress of an action.
type stage uint8

// The stages of an action.
const (
	emptying stage = iota // its worker is being emptied
	ordered               // its order is in progress or has an unknown outcome
	settling              // the order is done; the list does not show the effect yet
)

// action is a planned move or maintenance of one instance.
type action struct {
	instance  string
	worker    worker.ID // the worker that the action ends, "" for none
	startedAt int64     // the worker's start time as reported by its pool's owner, 0 if unknown
	from      string    // the pool that the instance is in
	to        string    // the pool that it moves to, "" for maintenance
	wave      int       // number of the wave that it is maintained for
	stage     stage
	began     time.Time
	sent      time.Time // when its order was last sent
	settledAt time.Time // when its order was reported as done
	putOff    bool      // it was logged that its order has to wait for an earlier holder's
	unknown   time.Time // when an attempt of its order last ended with an unknown outcome
	exchange  bool      // it moves because it does not suit what waits in its pool
}

// finished reports whether the list, whose reading began at a time, shows that a completed order has
// taken effect.
func (a *action) finished(i port.Instance, listedAt time.Time) bool {
	switch {
	case a.stage != settling || i.Condition != port.Up || !listedAt.After(a.settledAt):
		return false
	case a.to != "":
		return i.Pool == a.to
	}
	return i.Worker != a.worker || i.Worker == ""
}

// unsettledAt returns for how long after a time an attempt of the action's order that got no response may be carried
// out.
func (a *action) unsettledAt(at time.Time) time.Duration {
	if a.unknown.IsZero() {
		return 0
	}
	return max(unsettled-at.Sub(a.unknown), 0)
}
