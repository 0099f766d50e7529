// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import "time"

// Clock tells the time; its zero value is the machine's clock.
type Clock struct {
	NowFunc       func() time.Time
	AfterFunc     func(time.Duration) <-chan time.Time
	SuspendedFunc func() time.Duration
}

// Suspended returns by how much the time of day of Now is ahead: for as long as the machine
// was suspended.
func (c Clock) Suspended() time.Duration {
	if c.SuspendedFunc == nil {
		return 0
	}
	return c.SuspendedFunc()
}

// WallTime returns the time of day at a moment that Now has told.
func (c Clock) WallTime(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// FromWallTime returns what Now tells at a time of day.
func (c Clock) FromWallTime(date time.Time) time.Time { return date.Add(c.Suspended()) }

// Now returns the current time.
func (c Clock) Now() time.Time {
	if c.NowFunc == nil {
		return time.Now()
	}
	return c.NowFunc()
}

// After returns a channel that fires once d has passed.
func (c Clock) After(d time.Duration) <-chan time.Time {
	if c.AfterFunc == nil {
		return time.After(d)
	}
	return c.AfterFunc(d)
}
