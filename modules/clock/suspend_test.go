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

// start is the time of day at which a process has begun.
var start = time.Now()

// clock returns a clock on the machine. The steady part of its readings can't be set apart
// from the time of day, so the reading stands for the steady clock and what it loses.
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

// run lets the machine run for a time.
func (m *machine) run(d time.Duration) {
	m.steady += d
	m.boot += d
}

// TestASuspensionCounts: what has passed between two readings includes the time for which
// the machine was suspended, and the time of day is not changed by it.
func TestASuspensionCounts(t *testing.T) {
	m := &machine{boot: time.Hour}
	s := m.clock(t)
	c := s.Clock()
	before := c.Now()
	m.run(usualPeriod + time.Millisecond)
	m.boot += 4 * time.Second
	after := c.Now()
	assert.Equal(t, after.Sub(before), usualPeriod+time.Millisecond+4*time.Second)
	assert.Equal(t, c.WallTime(after).Sub(before), usualPeriod+time.Millisecond)
	assert.Assert(t, c.FromWallTime(c.WallTime(after)).Equal(after))
	assert.DeepEqual(t, m.found, []time.Duration{4 * time.Second})
}

// TestNoSuspension: drift between the clocks is none, and a machine that does not tell of
// suspensions is said so.
func TestNoSuspension(t *testing.T) {
	m := &machine{}
	s := m.clock(t)
	for range 100 {
		m.run(100 * time.Millisecond)
		m.boot += time.Microsecond
		assert.Equal(t, s.Now().Sub(start), m.steady)
	}
	assert.Equal(t, len(m.found), 0)
	m.fails = errors.New("not told")
	m.run(2 * usualPeriod)
	assert.Equal(t, s.Now().Sub(start), m.steady)
	assert.Equal(t, len(m.errs), 1)
}

// TestSinceBoot: the machine tells the time since its start, which goes on.
func TestSinceBoot(t *testing.T) {
	first, err := SinceBoot()
	assert.NilError(t, err)
	second, err := SinceBoot()
	assert.NilError(t, err)
	assert.Assert(t, first > 0 && second >= first)
}
