// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package returns

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
)

// start is a time in the midst of a second.
var start = time.Unix(1000, 0).Add(300 * time.Millisecond)

// room is a pool of 10 cores.
var room = capacity.New(start, job.Size{CPU: 10000}, job.Size{})

// work returns core-seconds of work.
func work(cores float64) capacity.Work { return capacity.Work{CPU: cores * 1000} }

// request returns a job of a customer that takes a core for a second.
func request(id int, customer string) Request {
	return Request{Job: job.ID(fmt.Sprint(id)), Customer: customer, Work: work(1)}
}

// TestSecondsArePromisedNoMoreThanTheyTake guards against promises that can't be kept. Pattern: 300 jobs of
// three sizes, one of them larger than the room of a second, refused at once at three phases of a second.
func TestSecondsArePromisedNoMoreThanTheyTake(t *testing.T) {
	var b Book
	placed := work(0)
	for i := range 300 {
		r := request(i, fmt.Sprint(i%7))
		r.Work = work([]float64{0.7, 2.5, 13}[i%3])
		if p := b.Promise(r, 1500*time.Millisecond, room, start.Add(time.Duration(i%3)*250*time.Millisecond)); p.Result == Promised {
			placed = placed.Plus(r.Work)
			assert.Assert(t, p.After >= 2*time.Second && p.After <= Horizon && p.After%time.Second == 0, "%s", p.After)
		}
	}
	sum := work(0)
	for unix, s := range b.seconds {
		assert.Assert(t, s.promised.CPU <= 10000*promisedPart+1e-6, "second %d: %v", unix, s.promised)
		sum = sum.Plus(s.promised)
	}
	assert.Assert(t, sum.CPU > placed.CPU-1e-3 && sum.CPU < placed.CPU+1e-3, "%v of %v", sum, placed)
	assert.Assert(t, placed.CPU > 0.9*10000*promisedPart*(Horizon.Seconds()-2), "%v", placed)
}

// TestRefusedFirstReturnsFirst guards against callers of a customer that are overtaken by its later ones.
// Pattern: 100 equal jobs, refused one after the other within two seconds.
func TestRefusedFirstReturnsFirst(t *testing.T) {
	var b Book
	last := int64(0)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		p := b.Promise(request(i, "a"), 0, room, now)
		assert.Equal(t, p.Result, Promised)
		second := now.Add(p.After).Unix()
		assert.Assert(t, second >= last, "job %d returns in second %d, an earlier one in %d", i, second, last)
		last = second
	}
}

// TestCustomersReturnByTheirShares guards against a customer that fills the seconds of others. Pattern: a
// flood of a customer with a third of the pool, beside one that has two thirds and as many refused as fit.
func TestCustomersReturnByTheirShares(t *testing.T) {
	var b Book
	first := map[string]int{}
	for i := range 120 {
		for n, customer := range []string{"third", "third", "third", "two thirds"} {
			r := request(i*4+n, customer)
			r.Share = map[string]float64{"third": 1. / 3, "two thirds": 2. / 3}[customer]
			if p := b.Promise(r, 0, room, start); p.Result == Promised && p.After <= 10*time.Second {
				first[customer]++
			}
		}
	}
	assert.Assert(t, first["third"] >= 25 && first["third"] <= 30, "%v", first)
	assert.Assert(t, first["two thirds"] >= 49 && first["two thirds"] <= 55, "%v", first)
}

// TestReturnsInTurnOnly guards against callers that gain by not doing what they were told: one that comes
// early hears the same second again, and one that comes late, with a new id, on behalf of another customer
// or with a larger job has no place.
func TestReturnsInTurnOnly(t *testing.T) {
	var missed []job.ID
	b := Book{OnMissed: func(id job.ID, _ string) { missed = append(missed, id) }}
	var due time.Time
	for i := range 30 {
		p := b.Promise(request(i, "a"), 0, room, start)
		due = start.Add(p.After)
	}
	last := request(29, "a")
	assert.Equal(t, b.Redeem(last, start.Add(time.Second)), Early)
	early := start.Add(1200 * time.Millisecond)
	again := early.Add(b.Promise(last, 5*time.Second, room, early).After)
	assert.Assert(t, !again.Before(due) && again.Sub(due) < time.Second, "promised for %s, and then for %s", due, again)

	assert.Equal(t, b.Redeem(request(30, "a"), due), Unknown)
	assert.Equal(t, b.Redeem(request(29, "b"), due), Unknown)
	larger := last
	larger.Work = work(2)
	assert.Equal(t, b.Redeem(larger, due), Unknown)

	assert.Equal(t, b.Redeem(last, due.Add(lateTolerance)), Kept)
	assert.Equal(t, b.Redeem(last, due.Add(lateTolerance)), Unknown, "a promise is kept once")
	assert.Equal(t, b.Redeem(request(28, "a"), due.Add(lateTolerance+time.Second)), Late)
	assert.Equal(t, len(missed), 29)
}

// TestPromisesAreWorkAheadWhileTheyAreDue guards against first calls that take the capacity of those that
// come back, and against capacity kept for customers whose callers do not.
func TestPromisesAreWorkAheadWhileTheyAreDue(t *testing.T) {
	var b Book
	for i := range 8 {
		r := request(i, []string{"a", "b"}[i%2])
		r.Share = 0.5
		assert.Equal(t, b.Promise(r, 3*time.Second, room, start).After, 3*time.Second)
	}
	due := start.Add(3 * time.Second)
	assert.Equal(t, len(b.Reserved(due.Add(-dueSoon-time.Millisecond))), 0)
	reserved := b.Reserved(due)
	assert.Equal(t, len(reserved), 2)
	assert.Equal(t, reserved["a"], work(4*(1-unknownMissed)))
	assert.Equal(t, reserved["b"], work(4*(1-unknownMissed)))
	for i := 0; i < 8; i += 2 {
		assert.Equal(t, b.Redeem(request(i, "a"), due), Kept)
	}
	reserved = b.Reserved(due)
	assert.Equal(t, len(reserved), 1)
	assert.Equal(t, reserved["b"], work(4*(1-unknownMissed)))
	assert.Equal(t, len(b.Reserved(due.Add(overdue+time.Millisecond))), 0)
	assert.Assert(t, b.customers["b"].missed.value > b.customers["a"].missed.value)
}

// TestBookIsBounded guards against memory that grows with the refused calls. Pattern: one customer refused
// without end, then 100 of them, then none.
func TestBookIsBounded(t *testing.T) {
	var b Book
	large := capacity.New(start, job.Size{CPU: 1e9}, job.Size{})
	full := 0
	for i := range 3 * maxOfCustomer {
		if b.Promise(request(i, "a"), 0, large, start).Result == NoSecond {
			full++
		}
	}
	assert.Equal(t, b.Len(), maxOfCustomer)
	assert.Equal(t, full, 2*maxOfCustomer)
	for i := range 2 * maxPromises {
		b.Promise(request(1e6+i, fmt.Sprint(i%100)), 0, large, start)
	}
	assert.Equal(t, b.Len(), maxPromises)
	b.Reserved(start.Add(2 * Horizon))
	b.Reserved(start.Add(4 * Horizon))
	assert.Equal(t, b.Len()+len(b.seconds)+len(b.customers), 0)
}

// TestLimitThatEndsFirstIsTold guards against callers that are sent away to a time at which they have given
// up, and against seconds kept for them.
func TestLimitThatEndsFirstIsTold(t *testing.T) {
	var b Book
	for i := range 40 {
		b.Promise(request(i, "a"), 0, room, start)
	}
	r := request(40, "a")
	r.Remaining = 3 * time.Second
	assert.Equal(t, b.Promise(r, 0, room, start), Promise{Result: LimitEnds})
	assert.Equal(t, b.Len(), 40)
	r.Remaining = 7 * time.Second
	assert.Equal(t, b.Promise(r, 0, room, start).Result, Promised)
}

// TestTimeThatIsNotKnownIsNotPromised guards against promises for a job of which nobody knows when it would
// be in time, and for one that the room never takes.
func TestTimeThatIsNotKnownIsNotPromised(t *testing.T) {
	var b Book
	assert.Equal(t, b.Promise(request(1, "a"), capacity.Never, room, start), Promise{Result: NoSecond, After: Horizon})
	memory := request(2, "a")
	memory.Work.MemoryMB = 1
	assert.Equal(t, b.Promise(memory, 0, room, start), Promise{Result: NoSecond, After: Horizon})
	assert.Equal(t, b.Len(), 0)
}

// TestReleasedPlaceIsPromisedAgain guards against places that stay taken after their job was accepted
// otherwise.
func TestReleasedPlaceIsPromisedAgain(t *testing.T) {
	var b Book
	large := request(1, "a")
	large.Work = work(20)
	assert.Equal(t, b.Promise(large, 0, room, start).After, time.Second)
	b.Release("1")
	for _, s := range b.seconds {
		assert.Equal(t, s.promised, work(0))
	}
	assert.Equal(t, b.Promise(request(2, "b"), 0, room, start).After, time.Second)
}

// TestTimeLimitIsTheCallersOwn guards against deadlines that a node sets taken for a caller's time limit.
func TestTimeLimitIsTheCallersOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, Remaining(ctx), time.Duration(0))
		ctx = WithTimeLimit(ctx, time.Now().Add(2*time.Second))
		assert.Equal(t, Remaining(ctx), 2*time.Second)
		time.Sleep(3 * time.Second)
		assert.Equal(t, Remaining(ctx), time.Duration(1))
	})
}

// BenchmarkPromise refuses a job with a full book whose promises are all due, as an owner does for each call
// of a flood.
func BenchmarkPromise(b *testing.B) {
	var book Book
	large := capacity.New(start, job.Size{CPU: 1e6}, job.Size{})
	for i := range maxPromises {
		book.Promise(request(i, fmt.Sprint(i%5)), 0, large, start)
	}
	due := start.Add(time.Second)
	for n := 0; b.Loop(); n++ {
		r := request(maxPromises+n, "0")
		book.Redeem(r, due)
		book.Reserved(due)
		book.Promise(r, 0, large, due)
	}
}
