// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package silence

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// pipe returns a tracked connection and its remote end.
func pipe(e *Endpoint) (*Conn, net.Conn) {
	near, far := net.Pipe()
	return e.Track(near), far
}

// TestResetOlder plays random sequences of opening connections, reading, expecting
// responses and resetting: all older connections must be reset, except those that wait for a
// response which is not due yet.
func TestResetOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Endpoint
		type known struct {
			c       *Conn
			far     net.Conn
			waiting bool
		}
		var conns []*known
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 30).Draw(t, "steps")
		for _, s := range steps {
			time.Sleep(time.Microsecond) // so that no two events have the same time
			switch {
			case s == 0 || len(conns) == 0:
				c, far := pipe(&e)
				conns = append(conns, &known{c: c, far: far})
			case s == 1:
				k := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "which")]
				if k.c.Unresponsive() {
					continue
				}
				go func() { _, _ = k.far.Write([]byte{1}) }()
				_, err := k.c.Read(make([]byte, 1))
				assert.NilError(t, err)
			case s == 2:
				k := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "which")]
				k.waiting = !k.waiting
				k.c.ClearExpected()
				if k.waiting {
					k.c.ExpectResponse(time.Now().Add(time.Hour))
				}
			default:
				fresh, far := pipe(&e)
				ended := 0
				for _, k := range conns {
					if !k.c.Unresponsive() && !k.waiting {
						ended++
					}
				}
				assert.Equal(t, e.ResetOlder(fresh), ended)
				for _, k := range conns {
					assert.Assert(t, k.c.Unresponsive() || k.waiting)
				}
				conns = append(conns, &known{c: fresh, far: far})
			}
		}
		for _, k := range conns {
			_ = k.far.Close()
			_ = k.c.Close()
		}
	})
}

// TestPartialResponseKeepsConnection: a connection on which a part of the response was
// received is not unresponsive, however long the rest takes.
func TestPartialResponseKeepsConnection(t *testing.T) {
	var e Endpoint
	c, far := pipe(&e)
	c.ExpectResponse(time.Now())
	go func() { _, _ = far.Write([]byte{1}) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	time.Sleep(time.Millisecond) // so that the new one is younger
	fresh, _ := pipe(&e)
	assert.Equal(t, e.ResetOlder(fresh), 0)
	assert.Assert(t, !c.Unresponsive())
	c.ClearExpected()
	assert.Equal(t, e.ResetOlder(fresh), 1)
}

// TestRetryBudget: for any sequence of responses and retries, the retries stay within the
// budget.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r RetryPolicy
		responses, allowed := 0, 0
		for _, isResponse := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
			if isResponse {
				r.RecordResponse(time.Now(), 0)
				responses++
				continue
			}
			if r.Spend() {
				allowed++
			}
		}
		assert.Assert(t, float64(allowed) <= maxBudget+budgetPerResponse*float64(responses)+1e-6, "%d of %d", allowed, responses)
	})
}

// TestRetryDelayFollowsSlowEndpoint: the delay grows with the response time.
func TestRetryDelayFollowsSlowEndpoint(t *testing.T) {
	var r RetryPolicy
	r.RecordResponse(time.Now().Add(-2*time.Millisecond), 0)
	assert.Equal(t, r.RetryDelay(), minRetryDelay)
	for range 80 {
		r.RecordResponse(time.Now().Add(-300*time.Millisecond), 0)
	}
	assert.Assert(t, r.RetryDelay() > time.Second, "%s", r.RetryDelay())
}

// TestSlowEndpointIsLearnedFromOneRetry: after an endpoint has become slow, one call is
// retried, but not all of the next twenty; once it is fast again, the delay returns to the
// minimum.
func TestSlowEndpointIsLearnedFromOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r RetryPolicy
		call := func(takes time.Duration) (retried bool) {
			began := time.Now()
			if takes <= r.RetryDelay() {
				time.Sleep(takes)
				r.RecordResponse(began, 0)
				return false
			}
			time.Sleep(r.RetryDelay())
			again := time.Now()
			time.Sleep(takes)
			r.RecordRetryResponse(again, 0)
			r.RecordResponse(again, 0)
			return true
		}
		retries := 0
		for range 20 {
			retries += map[bool]int{true: 1}[call(300*time.Millisecond)]
		}
		assert.Equal(t, retries, 1)
		for range 100 {
			call(4 * time.Millisecond)
		}
		assert.Equal(t, r.RetryDelay(), minRetryDelay)
	})
}
