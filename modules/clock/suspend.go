// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"cmp"
	"sync/atomic"
	"time"
)

// The bounds within which a suspension is noticed.
const (
	// jumpLeast is by how much the time of day must run ahead of the steady clock between
	// two readings for a suspension to be looked for at once. It is below each bound on
	// time that a right rests on; the two clocks drift by some microseconds a second.
	jumpLeast = 5 * time.Millisecond
	// usualPeriod is how often it is looked for anyway, since the time of day may be set
	// back as a suspension ends. A look is one call to the system, of some hundred
	// nanoseconds.
	usualPeriod = time.Second
)

// SuspendAware is a clock that counts the time for which the machine was suspended, which
// the steady clock of a process does not: a lease, a permission or the age of what is known
// would be taken for too young after it. NewSuspendable makes one.
type SuspendAware struct {
	// CheckInterval is how often a suspension is looked for though the time of day does not tell
	// of one, 0 for each second.
	CheckInterval time.Duration

	boot  func() (time.Duration, error) // the time since the machine was started, with that for which it was suspended
	now   func() time.Time
	found func(d time.Duration, err error)

	began  time.Time
	bootAt time.Duration
	ahead  atomic.Int64 // by how much the time of day was ahead of the steady clock, as read last, in nanoseconds
	looked atomic.Int64 // when a suspension was looked for last, on the steady clock, in nanoseconds
	lost   atomic.Int64 // for how long the machine was suspended in all, in nanoseconds
}

// NewSuspendAware returns a clock on the machine's own, which tells found of each suspension
// and of why one can't be looked for.
func NewSuspendAware(boot func() (time.Duration, error), now func() time.Time, found func(d time.Duration, err error)) (*SuspendAware, error) {
	at, err := boot()
	if err != nil {
		return nil, err
	}
	return &SuspendAware{boot: boot, now: now, found: found, began: now(), bootAt: at}, nil
}

// Clock returns the seam that reads the clock.
func (s *SuspendAware) Clock() Clock { return Clock{NowFunc: s.Now, SuspendedFunc: s.Suspended} }

// Now returns the time, by which the difference of two readings is what has passed, also
// while the machine was suspended. Its time of day is ahead by Ahead.
func (s *SuspendAware) Now() time.Time {
	now := s.now()
	steady := now.Sub(s.began)
	ahead := now.Round(0).Sub(s.began.Round(0)) - steady
	jump := ahead - time.Duration(s.ahead.Swap(int64(ahead)))
	if jump > jumpLeast || steady-time.Duration(s.looked.Load()) > cmp.Or(s.CheckInterval, usualPeriod) {
		s.look()
	}
	return now.Add(s.Suspended())
}

// Suspended returns for how long the machine was suspended in all, as far as was found.
func (s *SuspendAware) Suspended() time.Duration { return time.Duration(s.lost.Load()) }

// look finds out whether the machine was suspended since the last look. The steady clock
// is read last: a process that is held up between the two finds less, and never a
// suspension that was none.
func (s *SuspendAware) look() {
	at, err := s.boot()
	steady := s.now().Sub(s.began)
	s.looked.Store(int64(steady))
	if err != nil {
		s.found(0, err)
		return
	}
	lost, known := at-s.bootAt-steady, s.lost.Load()
	if lost-time.Duration(known) > jumpLeast && s.lost.CompareAndSwap(known, int64(lost)) {
		s.found(lost-time.Duration(known), nil)
	}
}
