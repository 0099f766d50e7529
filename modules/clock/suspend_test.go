// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// machine is a machine whose clocks a test moves.
type machine struct {
	steady, boot time.Duration
	fails        error
	found        []time.Duration
	errs         []error
}

// start is the wall-clock time at the start of the process.
var start = time.Now()

// clock returns a clock on the machine. The monotonic part of its readings cannot be set
// separately from the wall clock, so the reading stands for the monotonic clock and the
// time that it lacks.
func (m *machine) clock(t *testing.T) *SuspendAware {
	t.Helper()
	s, err := NewSuspendAware(
		func() (time.Duration, error) { return m.boot, m.fails },
		func() time.Time { return start.Add(m.steady) },
		func(d time.Duration, err error) {
			if err != nil {
				m.errs = append(m.errs, err)
				return
			}
			m.found = append(m.found, d)
		},
	)
	assert.NilError(t, err)
	return s
}

// run advances the machine's clocks.
func (m *machine) run(d time.Duration) {
	m.steady += d
	m.boot += d
}

// TestSuspension: the difference of two readings includes the time for which the machine
// was suspended, and the wall-clock time does not.
func TestSuspension(t *testing.T) {
	m := &machine{boot: time.Hour}
	s := m.clock(t)
	c := s.Clock()
	before := c.Now()
	m.run(defaultCheckInterval + time.Millisecond)
	m.boot += 4 * time.Second
	after := c.Now()
	assert.Equal(t, after.Sub(before), defaultCheckInterval+time.Millisecond+4*time.Second)
	assert.Equal(t, c.WallTime(after).Sub(before), defaultCheckInterval+time.Millisecond)
	assert.Assert(t, c.FromWallTime(c.WallTime(after)).Equal(after))
	assert.DeepEqual(t, m.found, []time.Duration{4 * time.Second})
}

// TestNoSuspension: drift between the clocks is not taken for a suspension, and an error of
// reading the boot time is reported.
func TestNoSuspension(t *testing.T) {
	m := &machine{}
	s := m.clock(t)
	for range 100 {
		m.run(100 * time.Millisecond)
		m.boot += time.Microsecond
		assert.Equal(t, s.Now().Sub(start), m.steady)
	}
	assert.Equal(t, len(m.found), 0)
	m.fails = errors.New("not available")
	m.run(2 * defaultCheckInterval)
	assert.Equal(t, s.Now().Sub(start), m.steady)
	assert.Equal(t, len(m.errs), 1)
}

// TestSinceBoot: the time since the machine's start can be read and does not decrease.
func TestSinceBoot(t *testing.T) {
	first, err := SinceBoot()
	assert.NilError(t, err)
	second, err := SinceBoot()
	assert.NilError(t, err)
	assert.Assert(t, first > 0 && second >= first)
}
