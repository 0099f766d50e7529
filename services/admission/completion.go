// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/setting"
)

// Completion accepts a job if it is expected to end in time by the capacity over the next seconds, and
// if the accepted work that comes after it stays in time. Until the role for instances has told what the
// fleet can bring, it decides as Overload does.
var Completion = Policy{Name: setting.AdmissionCompletion, Decide: decideByCompletion, KeepsPlaces: true}

// usableCapacity is the part of a pool's capacity that does work: between the end of a run and the
// start of the next one, its end is reported and the start is persisted and sent.
const usableCapacity = 0.9

// The parts of the longest wait of jobs that are planned for. The rest is for what is not foreseen: run
// times differ from what is expected, and later jobs come first.
const (
	// partOfNewcomer is the part for a customer that has used nothing of the pool lately: what it submits
	// is placed first.
	partOfNewcomer = 0.7
	// plannedPart is the part for a customer that uses its share of the pool.
	plannedPart = 1.0 / 3
	// partAboveShare is the part for a customer that uses twice its share or more: the difference stays
	// free for the others.
	partAboveShare = 0.1
	// keptPart is the part that accepted work keeps.
	keptPart = 0.5
)

func decideByCompletion(r Request, s State) Decision {
	if s.ByOverload(r) {
		return decideByOverload(r, s)
	}
	r.Latest -= s.StartDelay
	d := s.Pool.decide(r, plannedFor(s.ShareUsed), Late)
	if !d.Accepted || s.Limit.Outlook.TimeFor(r.Load.Work) == capacity.Never {
		return d
	}
	if limited := s.Limit.decide(r, plannedPart, OverLimit); !limited.Accepted {
		return limited
	}
	return d
}

// plannedFor returns the part of the longest wait that is planned for a customer by what it uses of its
// share.
func plannedFor(shareUsed float64) float64 {
	if shareUsed < 1 {
		return partOfNewcomer - shareUsed*(partOfNewcomer-plannedPart)
	}
	return plannedPart - min(shareUsed-1, 1)*(plannedPart-partAboveShare)
}

// decide decides by one lane. The job may wait for a part of its longest wait; late is the reason if it
// would for more.
func (l Lane) decide(r Request, part float64, late Reason) Decision {
	usable := l.Outlook.Scale(usableCapacity)
	load, longest := l.Ahead.Plus(r.Load), partOf(r.Latest, part)
	if usable.TimeFor(r.Load.Work) > r.Latest {
		// It is not in time on an idle pool either: it must be of some value after what comes before it.
		load, longest = l.Ahead, partOf(r.Useful, part)
	}
	wait := usable.TimeFor(load.Work)
	if l.Ahead == (Load{}) || fits(l.Outlook, load, longest) {
		wait = min(wait, longest) // nothing is gained by a return
	}
	over := max(excess(wait, longest), l.displaces(l.Outlook, r.Load, keptPart))
	switch {
	case over == 0:
		return Decision{Accepted: true, Reason: InTime, Wait: wait}
	case l.comes(r, load):
		return Decision{Accepted: true, Reason: Brought, Wait: wait}
	case wait > longest:
		return Decision{Reason: late, Wait: wait, After: over}
	}
	return Decision{Reason: Displaces, Wait: wait, After: over}
}

// fits reports whether a load fits in what is free after a time, so that all of it has started by then.
func fits(o capacity.Outlook, l Load, after time.Duration) bool { return l.Size.FitsIn(o.Free(after)) }

// comes reports whether the job, and what it displaces, would be in time if what is on its way and what
// the fleet can bring were there already, and the job is of value if it waits for that.
func (l Lane) comes(r Request, load Load) bool {
	o := l.Outlook
	if o.Arriving() == (job.Size{}) && o.Potential() == (job.Size{}) || o.Scale(usableCapacity).TimeFor(load.Work) > r.Useful {
		return false
	}
	all := capacity.New(o.At(), o.Serving(capacity.Never), o.Free(capacity.Never))
	part := plannedPart
	if o.Potential() != (job.Size{}) {
		part = 1
	}
	return all.Scale(usableCapacity).TimeFor(load.Work) <= partOf(r.Latest, part) && l.displaces(all, r.Load, part) == 0
}

// partOf returns a part of a duration.
func partOf(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// displaces returns by how much accepted work that ends within a part of its longest wait would exceed
// that after more work, 0 for not.
func (l Lane) displaces(o capacity.Outlook, more Load, part float64) time.Duration {
	usable, before, over := o.Scale(usableCapacity), l.Ahead, time.Duration(0)
	for _, d := range l.Behind {
		before = before.Plus(d.Load)
		longest := partOf(d.Latest, part)
		if all := before.Plus(more); usable.TimeFor(before.Work) <= longest && !fits(o, all, longest) {
			over = max(over, excess(usable.TimeFor(all.Work), longest))
		}
	}
	return over
}

// excess returns by how much a wait exceeds the longest one, capacity.Never for a wait without end.
func excess(wait, longest time.Duration) time.Duration {
	if wait == capacity.Never {
		return capacity.Never
	}
	return max(wait-longest, 0)
}
