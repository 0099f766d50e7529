// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package returns

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
)

// Bounds of a book.
const (
	// maxPromises is how many promises a book holds; one takes about 200 bytes.
	maxPromises = 4096
	// maxOfCustomer is how many of them one customer can have.
	maxOfCustomer = 1024
	// Horizon is how far ahead a return is promised. What a pool can do later is not known.
	Horizon = 20 * time.Second
	// maxSpan is the most seconds over which the work of one job is divided.
	maxSpan = 20
)

// Times of a return.
const (
	// earlyTolerance is how much earlier than promised a caller may come: its clock is not the owner's.
	earlyTolerance = 100 * time.Millisecond
	// lateTolerance is how much later than promised a caller may come. One that has come early is told the
	// rest of its time in whole seconds, so that it comes up to a second late.
	lateTolerance = 1250 * time.Millisecond
	// answerTime is the time from a return until its answer has arrived.
	answerTime = 100 * time.Millisecond
	// rememberMissed is how long a missed promise is remembered, so that a late return can be told from a
	// first call.
	rememberMissed = 5 * time.Second
	// dueSoon is the time before a promised return from which its work counts as ahead of others. What it
	// takes in the time until then would be idle for its sake.
	dueSoon = 100 * time.Millisecond
	// overdue is the time after a promised return from which its work counts no longer.
	overdue = 250 * time.Millisecond
)

// missedWeight is the weight of one promise in the part of a customer's promises that are missed: some
// ten of them show whether its callers come back.
const missedWeight = 0.1

// unknownMissed is the part of promises that is expected to be missed before any is due.
const unknownMissed = 0.5

// expireGap is the least time between two expiries.
const expireGap = 100 * time.Millisecond

// reservedFor is how long the sum of the work that is due soon is used, unless a promise is kept.
const reservedFor = 10 * time.Millisecond

// promisedPart is the part of a second's room that is promised. The rest is for first calls of customers
// within their shares, and for the time between two runs on a worker.
const promisedPart = 0.8

// minFirstPart is the least part of a job's work, or of what a second takes of it, that fits in the second
// of its return.
const minFirstPart = 0.5

// roundingError is a part of a job's work that counts as none.
const roundingError = 1e-9

// workSlack is by how much the work of a returning job may exceed the promised one: expected run times
// change in the meantime.
const workSlack = 1.25

// Request is a job that was refused or returns.
type Request struct {
	Job      job.ID
	Customer string
	// Share is the part of the room that is the customer's to use, by its weight and by what others leave
	// unused; 0 counts as 1.
	Share float64
	Work  capacity.Work
	// Remaining is how long the caller still waits, 0 if unknown.
	Remaining time.Duration
}

// Result states what a refused caller is told.
type Result uint8

// The results of Promise.
const (
	// Promised means that a second is kept for the caller.
	Promised Result = iota
	// NoSecond means that no second within the horizon has room, or that the book is full.
	NoSecond
	// LimitEnds means that the caller's time limit ends before the first second that has room.
	LimitEnds
)

// Promise is the second in which a caller may come back.
type Promise struct {
	Result Result
	// After is the time until the return, in whole seconds.
	After time.Duration
	// InSecond is the work promised in that second, this job's included.
	InSecond capacity.Work
}

// Return states how a call relates to the promises.
type Return uint8

// The kinds of a return.
const (
	Unknown Return = iota // a first call, as far as the book knows
	Kept                  // in its second: it takes the place kept for it
	Early                 // before its second, which stays promised
	Late                  // after its second, the place is lost
)

// String returns the name of the return in logs and metrics.
func (r Return) String() string { return [...]string{"unknown", "kept", "early", "late"}[r] }

// Book holds the promises of one pool's owner. Its zero value is empty; it is not safe for concurrent
// use.
type Book struct {
	// OnMissed is called for each promise whose caller has not come; nil for no call.
	OnMissed func(id job.ID, customer string)

	promises  map[job.ID]*promise
	seconds   map[int64]*second // by the Unix time
	customers map[string]*customer
	expiredAt time.Time // the last expiry
	missed    share     // the part of recent promises that are missed

	reserved   map[string]capacity.Work // the newest sum of the work that is due soon, by customer
	reservedAt time.Time                // when that was summed up, zero if it has changed since
}

// promise is a return that is promised.
type promise struct {
	job      job.ID
	customer string
	work     capacity.Work
	parts    []capacity.Work // of the work, in the second of at and those after it
	at       time.Time       // when the caller comes if it does as it was told
	overdue  bool            // it counts as missed, unless the caller still comes
	missed   bool            // its time is over
	removed  bool            // it is in the book no longer
}

// open reports whether the caller may still come.
func (p *promise) open(now time.Time) bool { return !p.missed && !now.After(p.at.Add(lateTolerance)) }

// second is a second in which callers may return.
type second struct {
	promised capacity.Work
	promises []*promise
}

// customer is a customer that has promises.
type customer struct {
	count  int
	next   time.Time // when the customer's share has room for its next job
	missed share     // the part of its recent promises that are missed
}

// share is the part of recent events in which something was the case.
type share struct {
	value float64
	known bool
}

// or returns the share, or another one if it is not known.
func (s share) or(o float64) float64 {
	if s.known {
		return s.value
	}
	return o
}

// add adds an event.
func (s *share) add(is bool) {
	x := 0.0
	if is {
		x = 1
	}
	s.value = s.or(unknownMissed) + (x-s.or(unknownMissed))*missedWeight
	s.known = true
}

// Promise returns when the caller of a refused job may come back: the first second, at the earliest time
// at which the job would be in time, that has room for it beside what is promised, after the customer's
// earlier promises. A caller that has a promise gets the same second again.
func (b *Book) Promise(r Request, earliest time.Duration, room capacity.Outlook, now time.Time) Promise {
	b.expire(now)
	if p := b.promises[r.Job]; p != nil {
		if p.customer != r.Customer {
			return Promise{Result: NoSecond, After: Horizon}
		}
		if after := wholeSeconds(p.at.Sub(now)); after > 0 && !r.endsBefore(after) {
			return Promise{After: after, InSecond: b.seconds[p.at.Unix()].promised}
		}
		b.Release(r.Job)
	}
	if len(b.promises) >= maxPromises {
		return Promise{Result: NoSecond, After: Horizon}
	}
	c := b.customers[r.Customer]
	if c == nil {
		c = &customer{missed: b.missed}
	}
	if c.count >= maxOfCustomer {
		return Promise{Result: NoSecond, After: Horizon}
	}
	for after := max(wholeSeconds(min(earliest, 2*Horizon)), time.Second); after <= Horizon; after += time.Second {
		at := now.Add(after)
		if at.Unix() < c.next.Unix() {
			continue
		}
		parts := b.fit(r.Work, at.Unix(), room, now)
		if parts == nil {
			continue
		}
		if r.endsBefore(after) {
			return Promise{Result: LimitEnds}
		}
		b.add(&promise{job: r.Job, customer: r.Customer, work: r.Work, parts: parts, at: at}, c)
		c.advance(r, time.Unix(at.Unix(), 0), room)
		return Promise{After: after, InSecond: b.seconds[at.Unix()].promised}
	}
	if r.endsBefore(Horizon) {
		return Promise{Result: LimitEnds}
	}
	return Promise{Result: NoSecond, After: Horizon}
}

// endsBefore reports whether the caller's time limit ends before a return after a time can be answered.
func (r *Request) endsBefore(after time.Duration) bool {
	return r.Remaining > 0 && r.Remaining < after+answerTime
}

// Redeem returns how a call relates to the promises. A promise that is kept is used up, and the call is to
// be accepted. A job of another customer, or one with more work than was promised, is unknown.
func (b *Book) Redeem(r Request, now time.Time) Return {
	b.expire(now)
	p := b.promises[r.Job]
	switch {
	case p == nil || p.customer != r.Customer || exceeds(r.Work, p.work.Scale(workSlack)):
		return Unknown
	case now.Before(p.at.Add(-earlyTolerance)):
		return Early
	case p.open(now):
		b.observe(p, false)
		b.remove(p)
		return Kept
	}
	b.miss(p)
	b.remove(p)
	return Late
}

// Release removes the promise of a job that needs it no more, so that its second has room for others.
func (b *Book) Release(id job.ID) {
	p := b.promises[id]
	if p == nil {
		return
	}
	b.remove(p)
	for n, part := range p.parts {
		if s := b.seconds[p.at.Unix()+int64(n)]; s != nil {
			s.promised = less(s.promised, part)
		}
	}
}

// Reserved returns the work of promised returns that are due soon, by customer. It counts as ahead of
// first calls. Of customers whose callers do not come back it is less. The result must not be changed.
func (b *Book) Reserved(now time.Time) map[string]capacity.Work {
	b.expire(now)
	if age := now.Sub(b.reservedAt); age < 0 || age >= reservedFor {
		b.reserved, b.reservedAt = b.sumReserved(now), now
	}
	return b.reserved
}

func (b *Book) sumReserved(now time.Time) map[string]capacity.Work {
	var work map[string]capacity.Work
	for unix := now.Add(-overdue).Unix(); unix <= now.Add(dueSoon).Unix(); unix++ {
		s := b.seconds[unix]
		if s == nil {
			continue
		}
		for _, p := range s.promises {
			if due := p.at.Sub(now); p.removed || due < -overdue || due > dueSoon {
				continue
			}
			if work == nil {
				work = make(map[string]capacity.Work)
			}
			expected := p.work.Scale(1 - b.customers[p.customer].missed.or(unknownMissed))
			work[p.customer] = work[p.customer].Plus(expected)
		}
	}
	return work
}

// Has reports whether a job has a promise.
func (b *Book) Has(id job.ID) bool { return b.promises[id] != nil }

// Len returns how many promises the book holds.
func (b *Book) Len() int { return len(b.promises) }

// fit divides work over a second and those after it by the room that they have beside what is promised. It
// returns nothing if less than half of the work, or of what a second takes, fits in the first, or if it is
// interrupted.
func (b *Book) fit(work capacity.Work, unix int64, room capacity.Outlook, now time.Time) []capacity.Work {
	var parts []capacity.Work
	for left := 1.0; len(parts) < maxSpan; unix++ {
		limit := roomOf(unix, room, now)
		free := limit
		if s := b.seconds[unix]; s != nil {
			free = less(limit, s.promised)
		}
		part := min(left, partIn(work, free))
		least := 0.0
		if parts == nil {
			least = min(minFirstPart, minFirstPart*partIn(work, limit))
		}
		if part <= least {
			return nil
		}
		parts = append(parts, work.Scale(part))
		if left -= part; left < roundingError {
			return parts
		}
	}
	return nil
}

// partIn returns which part of work fits in free room, 1 at most.
func partIn(work, free capacity.Work) float64 {
	part := 1.0
	for _, of := range [][2]float64{{work.CPU, free.CPU}, {work.MemoryMB, free.MemoryMB}, {work.Accelerators, free.Accelerators}} {
		if of[0] > of[1] {
			part = min(part, of[1]/of[0])
		}
	}
	return part
}

// add adds a promise.
func (b *Book) add(p *promise, c *customer) {
	if b.promises == nil {
		b.promises, b.seconds, b.customers = make(map[job.ID]*promise), make(map[int64]*second), make(map[string]*customer)
	}
	b.promises[p.job], b.customers[p.customer] = p, c
	c.count++
	first := p.at.Unix()
	for n, part := range p.parts {
		s := b.seconds[first+int64(n)]
		if s == nil {
			s = &second{}
			b.seconds[first+int64(n)] = s
		}
		s.promised = s.promised.Plus(part)
	}
	b.seconds[first].promises = append(b.seconds[first].promises, p)
}

// advance moves the time of the customer's next promise on by what a job takes of the customer's share of
// the room.
func (c *customer) advance(r Request, at time.Time, room capacity.Outlook) {
	if at.After(c.next) {
		c.next = at
	}
	share := r.Share
	if share <= 0 {
		share = 1
	}
	c.next = c.next.Add(min(room.Scale(share*promisedPart).TimeFor(r.Work), 2*Horizon))
}

// remove removes a promise; its work stays promised in its second.
func (b *Book) remove(p *promise) {
	delete(b.promises, p.job)
	p.removed, b.reservedAt = true, time.Time{}
	if c := b.customers[p.customer]; c != nil {
		c.count--
	}
}

// miss records that nobody has come for a promise.
func (b *Book) miss(p *promise) {
	if p.missed {
		return
	}
	p.missed = true
	if b.OnMissed != nil {
		b.OnMissed(p.job, p.customer)
	}
}

// observe counts a promise as missed or not, once for each.
func (b *Book) observe(p *promise, missed bool) {
	if missed && p.overdue {
		return
	}
	p.overdue = missed
	b.missed.add(missed)
	if c := b.customers[p.customer]; c != nil {
		c.missed.add(missed)
	}
}

// expire ends the promises whose time is over.
func (b *Book) expire(now time.Time) {
	if now.Sub(b.expiredAt) < expireGap {
		return
	}
	b.expiredAt = now
	for unix, s := range b.seconds {
		forgotten := now.After(time.Unix(unix+1, 0).Add(lateTolerance + rememberMissed))
		for _, p := range s.promises {
			if p.removed || now.Before(p.at.Add(overdue)) {
				continue
			}
			b.observe(p, true)
			if p.open(now) {
				continue
			}
			b.miss(p)
			if forgotten {
				b.remove(p)
			}
		}
		if forgotten {
			delete(b.seconds, unix)
		}
	}
	for name, c := range b.customers {
		if c.count == 0 && now.After(c.next) {
			delete(b.customers, name)
		}
	}
}

// roomOf returns the work that may be promised in a second, with what begins to serve in its course.
func roomOf(unix int64, room capacity.Outlook, now time.Time) capacity.Work {
	from := max(time.Unix(unix, 0).Sub(now), 0)
	return room.WorkWithin(from, from+time.Second).Scale(promisedPart)
}

// wholeSeconds rounds a duration up to whole seconds, as a caller is told.
func wholeSeconds(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return (d + time.Second - 1).Truncate(time.Second)
}

// exceeds reports whether work exceeds a limit in a dimension.
func exceeds(w, limit capacity.Work) bool {
	return w.CPU > limit.CPU || w.MemoryMB > limit.MemoryMB || w.Accelerators > limit.Accelerators
}

// less returns the work without a part of it.
func less(w, part capacity.Work) capacity.Work {
	return capacity.Work{CPU: max(w.CPU-part.CPU, 0), MemoryMB: max(w.MemoryMB-part.MemoryMB, 0), Accelerators: max(w.Accelerators-part.Accelerators, 0)}
}
