// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// Change is an amount of capacity that is added after a time.
type Change struct {
	After time.Duration `json:"after"`
	Size  job.Size      `json:"size"`
}

// Outlook is what is known at one moment of a pool's capacity over the next seconds; it is
// immutable, and the zero value has no capacity.
type Outlook struct {
	at        time.Time
	serving   job.Size // of the workers on which tasks may be placed
	free      job.Size // the part of it that is not in use
	ends      []Change // capacity that becomes free as runs end, in order of time
	arrivals  []Change // capacity on its way to the pool that will serve, in order of time
	potential []Change // capacity that the fleet can bring if it is requested now, in order of time
}

// Never is the time for work that is not done within any known time.
const Never time.Duration = math.MaxInt64

// How what another node has reported is weighted by its age.
const (
	// freshFor is the age up to which a report counts in full: reports are made eight times a second.
	freshFor = 500 * time.Millisecond
	// staleAfter is the age from which a report counts for nothing; it counts for less and less
	// between.
	staleAfter = 3 * time.Second
	// arrivalGrace is how long capacity that should have arrived still counts as on its way. After that
	// it serves already, or it is not known when it will.
	arrivalGrace = 500 * time.Millisecond
)

// New returns the outlook of a pool whose workers on which tasks may be placed have a capacity, a part
// of which is free.
func New(at time.Time, serving, free job.Size) Outlook {
	return Outlook{at: at, serving: serving, free: free.Max(job.Size{})}
}

// At returns the moment of the outlook.
func (o Outlook) At() time.Time { return o.at }

// WithEnds returns a copy with the capacity that becomes free as runs end.
func (o Outlook) WithEnds(ends []Change) Outlook {
	o.ends = sorted(ends)
	return o
}

// WithArrivals returns a copy with the capacity on its way to the pool, as reported by another node some
// time ago.
func (o Outlook) WithArrivals(arrivals []Change, age time.Duration) Outlook {
	o.arrivals = aged(arrivals, age)
	return o
}

// WithPotential returns a copy with the capacity that the fleet can bring if it is requested now, as
// reported by another node some time ago. It counts from the request, so it does not come sooner with the
// report's age.
func (o Outlook) WithPotential(potential []Change, age time.Duration) Outlook {
	o.potential = nil
	for _, c := range sorted(potential) {
		o.potential = append(o.potential, Change{c.After, c.Size.Scale(weight(age))})
	}
	return o
}

// Promised returns a copy without the capacity that has not been requested.
func (o Outlook) Promised() Outlook {
	o.potential = nil
	return o
}

// CappedAt returns a copy of which no more than a size is usable at any time. A dimension that is 0 has
// no cap.
func (o Outlook) CappedAt(most job.Size) Outlook {
	if most == (job.Size{}) {
		return o
	}
	serving := o.serving
	o.serving, o.free = capped(serving, most), capped(o.free, most)
	o.arrivals, serving = cappedChanges(o.arrivals, serving, most)
	o.potential, _ = cappedChanges(o.potential, serving, most)
	return o
}

// Scale returns a copy with a fraction of all capacity.
func (o Outlook) Scale(fraction float64) Outlook {
	scaled := func(list []Change) []Change {
		next := make([]Change, len(list))
		for i, c := range list {
			next[i] = Change{c.After, c.Size.Scale(fraction)}
		}
		return next
	}
	o.serving, o.free = o.serving.Scale(fraction), o.free.Scale(fraction)
	o.ends, o.arrivals, o.potential = scaled(o.ends), scaled(o.arrivals), scaled(o.potential)
	return o
}

// Serving returns the capacity that serves after a time, used or not.
func (o Outlook) Serving(after time.Duration) job.Size {
	return o.serving.Plus(sumUntil(o.arrivals, after)).Plus(sumUntil(o.potential, after))
}

// WorkWithin returns the work that the capacity that serves does between two times, the first not after the
// second.
func (o Outlook) WorkWithin(from, until time.Duration) Work {
	done := WorkOf(o.serving, until-from)
	for c := range o.added() {
		if c.After >= until {
			break
		}
		done = done.Plus(WorkOf(c.Size, until-max(c.After, from)))
	}
	return done
}

// Free returns the capacity that is free after a time if nothing else starts.
func (o Outlook) Free(after time.Duration) job.Size {
	return o.free.Plus(sumUntil(o.ends, after)).Plus(sumUntil(o.arrivals, after)).Plus(sumUntil(o.potential, after))
}

// Arriving returns the capacity that is on its way to the pool.
func (o Outlook) Arriving() job.Size { return sumUntil(o.arrivals, Never) }

// Potential returns the capacity that the fleet can bring if it is requested now.
func (o Outlook) Potential() job.Size { return sumUntil(o.potential, Never) }

// TimeFor returns how long the capacity takes for an amount of work if it is used in full, Never if it
// does not do it.
func (o Outlook) TimeFor(w Work) time.Duration {
	return max(
		o.timeFor(w.CPU, func(s job.Size) int { return s.CPU }),
		o.timeFor(w.MemoryMB, func(s job.Size) int { return s.MemoryMB }),
		o.timeFor(w.Accelerators, func(s job.Size) int { return s.Accelerators }),
	)
}

// timeFor returns how long one dimension of the capacity takes for work.
func (o Outlook) timeFor(work float64, of func(job.Size) int) time.Duration {
	if work <= 0 {
		return 0
	}
	rate, from := float64(of(o.serving)), time.Duration(0)
	for c := range o.added() {
		if step := (c.After - from).Seconds(); step > 0 {
			if rate*step >= work {
				break
			}
			work -= rate * step
			from = c.After
		}
		rate += float64(of(c.Size))
	}
	if rate <= 0 {
		return Never
	}
	return from + time.Duration(work/rate*float64(time.Second))
}

// added yields the capacity that is added, in order of time.
func (o Outlook) added() iter.Seq[Change] {
	return func(yield func(Change) bool) {
		arrivals, potential := o.arrivals, o.potential
		for len(arrivals)+len(potential) > 0 {
			next := &arrivals
			if len(arrivals) == 0 || len(potential) > 0 && potential[0].After < arrivals[0].After {
				next = &potential
			}
			if !yield((*next)[0]) {
				return
			}
			*next = (*next)[1:]
		}
	}
}

// sorted returns the changes in order of time.
func sorted(list []Change) []Change {
	if slices.IsSortedFunc(list, compare) {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, compare)
	return list
}

func compare(a, b Change) int { return cmp.Compare(a.After, b.After) }

// aged returns changes that were reported some time ago as of now.
func aged(list []Change, age time.Duration) []Change {
	var next []Change
	for _, c := range sorted(list) {
		if c.After-age < -arrivalGrace {
			continue
		}
		next = append(next, Change{max(c.After-age, 0), c.Size.Scale(weight(age))})
	}
	return next
}

// weight returns the weight of a report by its age.
func weight(age time.Duration) float64 {
	part := float64(staleAfter-age) / float64(staleAfter-freshFor)
	return min(max(part, 0), 1)
}

// sumUntil returns the sum of the changes up to a time.
func sumUntil(list []Change, after time.Duration) job.Size {
	var sum job.Size
	for _, c := range list {
		if c.After <= after {
			sum = sum.Plus(c.Size)
		}
	}
	return sum
}

// capped returns a size of at most another one, in the dimensions in which that is not 0.
func capped(size, most job.Size) job.Size {
	limited := func(size, most int) int {
		if most > 0 {
			return min(size, most)
		}
		return size
	}
	return job.Size{
		CPU: limited(size.CPU, most.CPU), MemoryMB: limited(size.MemoryMB, most.MemoryMB), Accelerators: limited(size.Accelerators, most.Accelerators),
	}
}

// cappedChanges caps the capacity after each change, and returns the capacity without a cap after all of
// them.
func cappedChanges(list []Change, serving, most job.Size) ([]Change, job.Size) {
	var next []Change
	for _, c := range list {
		before := capped(serving, most)
		serving = serving.Plus(c.Size)
		next = append(next, Change{c.After, capped(serving, most).Minus(before)})
	}
	return next, serving
}
