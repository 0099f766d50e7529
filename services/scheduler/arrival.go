// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// The spans over which the work that comes is averaged.
const (
	// usualSpan is long enough to even out jobs of different size, short enough to
	// follow a rush.
	usualSpan = 1500 * time.Millisecond
	// quickSpan is of the average that shows first that work has begun to rise.
	quickSpan = usualSpan / 2
)

// What is expected of work that rises.
const (
	// surelyRises is by how many standard errors the quick average must be above the
	// usual one: fewer are seen by chance, where single jobs are large.
	surelyRises = 3.0
	// errorShare is the standard error of the difference between the two averages of
	// steady work, in those of the quick one: work that comes by chance moves both. By
	// the integral over the squares of their weights it is the root of 1/6.
	errorShare = 0.41
	// risesMost bounds what is expected, in times of what comes now: a rush that ends
	// while it still seems to rise has that much too many instances for some seconds.
	risesMost = 3.0
)

// arrivals is how much work comes, as the room that it keeps busy.
type arrivals struct {
	usual, quick average
}

// average is a mean that forgets what came long ago.
type average struct {
	cpu          float64 // thousandths of a core, times seconds, over the span
	memory       float64
	accelerators float64
	squares      float64 // of what each job has added to cpu, for the standard error
	at           time.Time
}

// fade forgets what has become old.
func (a *average) fade(span time.Duration, now time.Time) {
	keep := math.Exp(-now.Sub(a.at).Seconds() / span.Seconds())
	if a.at.IsZero() {
		keep = 0
	}
	a.cpu, a.memory, a.accelerators, a.squares = a.cpu*keep, a.memory*keep, a.accelerators*keep, a.squares*keep*keep
	a.at = now
}

// add takes the work of tasks of a size.
func (a *average) add(size job.Size, seconds float64) {
	a.cpu += float64(size.CPU) * seconds
	a.memory += float64(size.MemoryMB) * seconds
	a.accelerators += float64(size.Accelerators) * seconds
}

// add takes the work of a job, by its steps.
func (a *arrivals) add(now time.Time, work []stepWork) {
	cpu := 0.0
	for _, w := range work {
		cpu += float64(w.size.CPU) * w.seconds
	}
	for _, of := range []struct {
		mean *average
		span time.Duration
	}{{&a.usual, usualSpan}, {&a.quick, quickSpan}} {
		of.mean.fade(of.span, now)
		of.mean.squares += cpu * cpu
		for _, w := range work {
			of.mean.add(w.size, w.seconds)
		}
	}
}

// stepWork is the work of the tasks of a step.
type stepWork struct {
	size    job.Size // of all of them
	seconds float64
}

// rate returns the room that the work keeps busy while it goes on coming, and where it
// rises, that it will keep busy once an instance that is asked for now has come. On a
// straight rise each average lags behind by its span, so that the two tell how steep
// the rise is.
func (a *arrivals) rate(now time.Time) job.Size {
	a.usual.fade(usualSpan, now)
	a.quick.fade(quickSpan, now)
	return a.usual.room(usualSpan).Scale(a.rise())
}

// rise returns how many times what the usual average shows is to be expected.
func (a *arrivals) rise() float64 {
	usual, quick := a.usual.cpu/usualSpan.Seconds(), a.quick.cpu/quickSpan.Seconds()
	errs := errorShare * math.Sqrt(a.quick.squares) / quickSpan.Seconds()
	if usual <= 0 || quick-usual < surelyRises*errs {
		return 1
	}
	slope := (quick - usual) / (usualSpan - quickSpan).Seconds()
	expected := quick + slope*(quickSpan+addTime).Seconds()
	return min(expected, risesMost*quick) / usual
}

// room returns the room that the work keeps busy.
func (a *average) room(span time.Duration) job.Size {
	s := span.Seconds()
	return job.Size{CPU: int(a.cpu / s), MemoryMB: int(a.memory / s), Accelerators: int(a.accelerators / s)}
}

// arrive takes the work of a job that has come; one with times comes when each
// of them is due.
func (p *Pool) arrive(j *jobState, now time.Time) {
	if j.sub.RepeatCount > 0 {
		return
	}
	var work []stepWork
	for i := range j.sub.Steps {
		s := &j.sub.Steps[i]
		if !s.LongRunning && s.Label == "" {
			work = append(work, stepWork{s.Reservation().Times(s.Count), p.expect(j.sub.Queue, s).Seconds()})
		}
	}
	p.arrivals.add(now, work)
}
