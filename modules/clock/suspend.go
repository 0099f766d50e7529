// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"cmp"
	"sync/atomic"
	"time"
)

// Limits on noticing a suspension.
const (
	// minJump is by how much the wall clock must run ahead of the monotonic clock between
	// two readings to check for a suspension immediately. It is below each time bound on
	// which a permission depends; the two clocks drift by some microseconds a second.
	minJump = 5 * time.Millisecond
	// defaultCheckInterval is how often a suspension is checked for anyway, because the
	// wall clock may be set back as a suspension ends. A check is one system call of some
	// hundred nanoseconds.
	defaultCheckInterval = time.Second
)

// SuspendAware is a clock that includes the time for which the machine was suspended. The
// monotonic clock of a process does not, so after a suspension a lease, a permission or
// cached data would seem younger than it is. Use NewSuspendAware to create one.
type SuspendAware struct {
	// CheckInterval is how often to check for a suspension that the wall clock does not
	// show, 0 for every second.
	CheckInterval time.Duration

	sinceBoot func() (time.Duration, error) // the time since the machine was started, including suspensions
	now       func() time.Time
	onSuspend func(d time.Duration, err error)

	startedAt        time.Time
	sinceBootAtStart time.Duration
	wallAhead        atomic.Int64 // by how much the wall clock was ahead of the monotonic clock at the last reading, in nanoseconds
	checkedAt        atomic.Int64 // when a suspension was last checked for, on the monotonic clock, in nanoseconds
	suspended        atomic.Int64 // for how long the machine was suspended in total, in nanoseconds
}

// NewSuspendAware returns a clock based on the machine's clocks. It calls onSuspend for
// each suspension, and with the error if it cannot check for one.
func NewSuspendAware(sinceBoot func() (time.Duration, error), now func() time.Time, onSuspend func(d time.Duration, err error)) (*SuspendAware, error) {
	at, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	return &SuspendAware{sinceBoot: sinceBoot, now: now, onSuspend: onSuspend, startedAt: now(), sinceBootAtStart: at}, nil
}

// Clock returns a Clock that reads this clock.
func (s *SuspendAware) Clock() Clock { return Clock{NowFunc: s.Now, SuspendedFunc: s.Suspended} }

// Now returns the time such that the difference of two readings includes the time for which
// the machine was suspended. It is ahead of the wall clock by Suspended.
func (s *SuspendAware) Now() time.Time {
	now := s.now()
	steady := now.Sub(s.startedAt)
	ahead := now.Round(0).Sub(s.startedAt.Round(0)) - steady
	jump := ahead - time.Duration(s.wallAhead.Swap(int64(ahead)))
	if jump > minJump || steady-time.Duration(s.checkedAt.Load()) > cmp.Or(s.CheckInterval, defaultCheckInterval) {
		s.check()
	}
	return now.Add(s.Suspended())
}

// Suspended returns for how long the machine was suspended in total, as far as noticed.
func (s *SuspendAware) Suspended() time.Duration { return time.Duration(s.suspended.Load()) }

// check finds out whether the machine was suspended since the last check. The monotonic
// clock is read last: if the process is delayed between the two readings, it finds less,
// and never a suspension that did not happen.
func (s *SuspendAware) check() {
	sinceBoot, err := s.sinceBoot()
	steady := s.now().Sub(s.startedAt)
	s.checkedAt.Store(int64(steady))
	if err != nil {
		s.onSuspend(0, err)
		return
	}
	suspended, known := sinceBoot-s.sinceBootAtStart-steady, s.suspended.Load()
	if suspended-time.Duration(known) > minJump && s.suspended.CompareAndSwap(known, int64(suspended)) {
		s.onSuspend(suspended-time.Duration(known), nil)
	}
}
