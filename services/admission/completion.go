// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
)

// Completion accepts a job if it is expected to end in time by the capacity over the next seconds, and
// if the accepted work that comes after it stays in time. Until the role for instances has told what the
// fleet can bring, it decides as Overload does.
var Completion = Policy{Name: "completion", Decide: decideByCompletion, TimelyFirst: true}

// usableCapacity is the part of a pool's capacity that does work: between the end of a run and the
// start of the next one, its end is reported and the start is persisted and sent.
const usableCapacity = 0.9

// plannedPart is the part of a job's longest wait that is planned for it. The rest is for what is not
// foreseen: run times differ from what is expected, and other customers submit work.
const plannedPart = 0.5

func decideByCompletion(r Request, s State) Decision {
	if !s.FleetKnown || s.Share.Outlook.TimeFor(r.Work) == capacity.Never {
		return decideByOverload(r, s)
	}
	r.Latest -= s.StartDelay
	d := s.Share.decide(r, Late)
	if !d.Accepted || s.Limit.Outlook.TimeFor(r.Work) == capacity.Never {
		return d
	}
	if limited := s.Limit.decide(r, OverLimit); !limited.Accepted {
		return limited
	}
	return d
}

// decide decides by one lane; late is the reason if the job would wait for too long.
func (l Lane) decide(r Request, late Reason) Decision {
	o := l.Outlook.Scale(usableCapacity)
	work, longest := l.Ahead.Plus(r.Work), partOf(r.Latest, plannedPart)
	if o.TimeFor(r.Work) > r.Latest {
		// It is not in time on an idle pool either: it must be of some value after what comes before it.
		work, longest = l.Ahead, partOf(r.Useful, plannedPart)
	}
	wait := o.TimeFor(work)
	if l.Ahead == (capacity.Work{}) {
		longest = max(longest, wait) // nothing is gained by a return
	}
	over := max(excess(wait, longest), l.displaces(o, r.Work, plannedPart))
	switch {
	case over == 0:
		return Decision{Accepted: true, Reason: InTime, Wait: wait}
	case l.comes(r, work):
		return Decision{Accepted: true, Reason: Brought, Wait: wait}
	case wait > longest:
		return Decision{Reason: late, Wait: wait, After: over}
	}
	return Decision{Reason: Displaces, Wait: wait, After: over}
}

// comes reports whether the job, and what it displaces, would be in time if what is on its way and what
// the fleet can bring were there already, and the job is of value if it waits for that.
func (l Lane) comes(r Request, work capacity.Work) bool {
	o := l.Outlook.Scale(usableCapacity)
	if o.Arriving() == (job.Size{}) && o.Potential() == (job.Size{}) || o.TimeFor(work) > r.Useful {
		return false
	}
	all := capacity.New(o.At(), o.Serving(capacity.Never), o.Free(capacity.Never))
	return all.TimeFor(work) <= r.Latest && l.displaces(all, r.Work, 1) == 0
}

// partOf returns a part of a duration.
func partOf(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// displaces returns by how much accepted work that ends within a part of its longest wait would exceed
// that after more work, 0 for not.
func (l Lane) displaces(o capacity.Outlook, work capacity.Work, part float64) time.Duration {
	before, over := l.Ahead, time.Duration(0)
	for _, d := range l.Behind {
		before = before.Plus(d.Work)
		if longest := partOf(d.Latest, part); o.TimeFor(before) <= longest {
			over = max(over, excess(o.TimeFor(before.Plus(work)), longest))
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
