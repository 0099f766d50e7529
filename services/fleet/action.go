// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// stage is how far an action is.
type stage uint8

// The stages of an action.
const (
	emptying stage = iota // its worker is to be emptied
	ordered               // its order is under way or its outcome is not known
	settling              // done; the instance is not back yet
)

// action is what is to be done to one instance.
type action struct {
	instance string
	worker   worker.ID // the worker that it ends, "" for none
	born     int64     // its start, as its pool's owner has told, 0 for not known
	from     string    // the pool that the instance is in
	to       string    // the pool that it moves to, "" for maintenance
	wave     int       // that it is maintained for
	stage    stage
	began    time.Time
	sent     time.Time // when its order was given
	unknown  time.Time // when a try of its order was last given up without an answer
}

// over reports whether the list shows that a done action has taken effect.
func (a *action) over(i port.Instance) bool {
	switch {
	case a.stage != settling || i.Condition != port.Up:
		return false
	case a.to != "":
		return i.Pool == a.to
	}
	return i.Worker != a.worker || i.Worker == ""
}
