// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import "time"

// Clock provides the time; its zero value is the machine's clock.
type Clock struct {
	NowFunc       func() time.Time
	AfterFunc     func(time.Duration) <-chan time.Time
	SuspendedFunc func() time.Duration
}

// Suspended returns how long the machine was suspended, which is how far Now is ahead of
// the wall clock.
func (c Clock) Suspended() time.Duration {
	if c.SuspendedFunc == nil {
		return 0
	}
	return c.SuspendedFunc()
}

// WallTime converts a time returned by Now to the wall-clock time.
func (c Clock) WallTime(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// FromWallTime converts a wall-clock time to the time that Now returns then.
func (c Clock) FromWallTime(wall time.Time) time.Time { return wall.Add(c.Suspended()) }

// Now returns the current time.
func (c Clock) Now() time.Time {
	if c.NowFunc == nil {
		return time.Now()
	}
	return c.NowFunc()
}

// After returns a channel that receives the time once d has passed.
func (c Clock) After(d time.Duration) <-chan time.Time {
	if c.AfterFunc == nil {
		return time.After(d)
	}
	return c.AfterFunc(d)
}
