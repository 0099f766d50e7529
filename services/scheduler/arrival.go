// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// The time constants of the moving averages of arriving work.
const (
	// slowSpan is long enough to even out jobs of different size, and short enough to follow a
	// surge.
	slowSpan = 1500 * time.Millisecond
	// fastSpan is for the average that is the first to show a rise.
	fastSpan = slowSpan / 2
)

// The parameters of the forecast for rising arrivals.
const (
	// riseThreshold is by how many standard errors the fast average must exceed the slow one:
	// smaller differences occur by chance if single jobs are large.
	riseThreshold = 3.0
	// errorFactor is the standard error of the difference between the two averages under steady
	// load, relative to that of the fast one, since random arrivals move both. By the integral over
	// the squares of their weights it is the root of 1/6.
	errorFactor = 0.41
	// maxGrowth limits the forecast, as a multiple of current arrivals: a surge that ends while it
	// still seems to rise leaves that many times too many instances for some seconds.
	maxGrowth = 3.0
)

// arrivals measures arriving work as the capacity that it occupies.
type arrivals struct {
	slow, fast average
}

// average is an exponentially decaying average.
type average struct {
	cpu          float64 // thousandths of a core times seconds, over the span
	memory       float64
	accelerators float64
	squares      float64 // sum of the squares of each job's cpu, for the standard error
	at           time.Time
}

// decay reduces the weight of older arrivals.
func (a *average) decay(span time.Duration, now time.Time) {
	factor := math.Exp(-now.Sub(a.at).Seconds() / span.Seconds())
	if a.at.IsZero() {
		factor = 0
	}
	a.cpu, a.memory, a.accelerators, a.squares = a.cpu*factor, a.memory*factor, a.accelerators*factor, a.squares*factor*factor
	a.at = now
}

// add adds the work of tasks of a size.
func (a *average) add(size job.Size, seconds float64) {
	a.cpu += float64(size.CPU) * seconds
	a.memory += float64(size.MemoryMB) * seconds
	a.accelerators += float64(size.Accelerators) * seconds
}

// add adds the work of a job, by its steps.
func (a *arrivals) add(now time.Time, work []stepWork) {
	cpu := 0.0
	for _, w := range work {
		cpu += float64(w.size.CPU) * w.seconds
	}
	for _, of := range []struct {
		mean *average
		span time.Duration
	}{{&a.slow, slowSpan}, {&a.fast, fastSpan}} {
		of.mean.decay(of.span, now)
		of.mean.squares += cpu * cpu
		for _, w := range work {
			of.mean.add(w.size, w.seconds)
		}
	}
}

// stepWork is the work of the tasks of a step.
type stepWork struct {
	size    job.Size // of all tasks
	seconds float64
}

// rate returns the capacity that the work occupies while it keeps arriving; if it rises, the
// capacity that it will occupy once an instance requested now can be used. On a linear rise each
// average lags behind by its span, so that the two give its slope.
func (a *arrivals) rate(now time.Time) job.Size {
	a.slow.decay(slowSpan, now)
	a.fast.decay(fastSpan, now)
	return a.slow.load(slowSpan).Scale(a.growth())
}

// growth returns the factor of the forecast over the slow average.
func (a *arrivals) growth() float64 {
	slow, fast := a.slow.cpu/slowSpan.Seconds(), a.fast.cpu/fastSpan.Seconds()
	stdErr := errorFactor * math.Sqrt(a.fast.squares) / fastSpan.Seconds()
	if slow <= 0 || fast-slow < riseThreshold*stdErr {
		return 1
	}
	slope := (fast - slow) / (slowSpan - fastSpan).Seconds()
	expected := fast + slope*(fastSpan+provisionTime).Seconds()
	return min(expected, maxGrowth*fast) / slow
}

// load returns the capacity that the work occupies.
func (a *average) load(span time.Duration) job.Size {
	s := span.Seconds()
	return job.Size{CPU: int(a.cpu / s), MemoryMB: int(a.memory / s), Accelerators: int(a.accelerators / s)}
}

// addArrival adds the work of a job that has arrived; a recurring job is not counted, as its rounds
// arrive when they are due.
func (p *Pool) addArrival(j *jobState, now time.Time) {
	if j.sub.RepeatCount > 0 {
		return
	}
	var work []stepWork
	for i := range j.sub.Steps {
		s := &j.sub.Steps[i]
		if !s.LongRunning && s.Label == "" {
			work = append(work, stepWork{s.Reservation().Times(s.Count), p.expectedRunTime(j.sub.Queue, s).Seconds()})
		}
	}
	p.arrivals.add(now, work)
}
