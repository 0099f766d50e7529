// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"
)

// The averages of what comes lag behind a rise by their spans: 0.8 s after a rush has begun that
// climbs for three seconds they show a third of what will come when an instance has come that
// is asked for now. A straight line that is fitted to what has come shows more than half.

const (
	// rampSpan is of the spans in which what has come is counted, and rampSpans their number: a
	// rise, and what came before it.
	rampSpan  = 200 * time.Millisecond
	rampSpans = 20
	// rampBefore is how many spans before a rise tell what came then.
	rampBefore = 5
	// rampShortest is how many spans a rise must have lasted: a single one with many jobs is none.
	rampShortest = 3
	// rampLongest is how many spans a rise may have lasted that is looked for, and rampYoung
	// until when it is gone by: what has risen for longer the averages show as well, and what
	// has ended to rise looks like a rise for as long as it is among the spans.
	rampLongest = 12
	rampYoung   = 8
	// rampSure is by how much a rise must be likelier than none, in logarithms, for it to be
	// sure. In steady work two looks of 19,800 show as much by chance.
	rampSure = 7.0
	// leastBase stands for what came before a rise where nothing did, in jobs a span.
	leastBase = 0.05
)

// ramp is the work that has come in each of the last spans, in thousandths of a core times seconds.
type ramp struct {
	work    [rampSpans]float64 // by span, in a ring
	squares [rampSpans]float64 // of what each job has added
	newest  int64              // number of the newest span since 1970
}

// turn makes room for the spans up to a time.
func (r *ramp) turn(now time.Time) {
	n := now.UnixNano() / int64(rampSpan)
	for s := max(r.newest+1, n-rampSpans+1); s <= n; s++ {
		r.work[s%rampSpans], r.squares[s%rampSpans] = 0, 0
	}
	r.newest = max(r.newest, n)
}

// add takes the work of a job.
func (r *ramp) add(now time.Time, cpu float64) {
	r.turn(now)
	r.work[r.newest%rampSpans] += cpu
	r.squares[r.newest%rampSpans] += cpu * cpu
}

// expects returns how much work will come a second some time from now, as thousandths of a core,
// where it has begun to rise for sure; else 0.
func (r *ramp) expects(now time.Time, ahead time.Duration) float64 {
	r.turn(now)
	var jobs [rampSpans - 1]float64 // of one size, in the spans that are over, the newest first
	sum, squares := 0.0, 0.0
	for n := range jobs {
		i := (r.newest - 1 - int64(n)) % rampSpans
		jobs[n] = r.work[i]
		sum += r.work[i]
		squares += r.squares[i]
	}
	if sum <= 0 {
		return 0
	}
	size := squares / sum // the work of jobs of all sizes scatters as that of as many of this one
	for n := range jobs {
		jobs[n] /= size
	}
	best := line{}
	for lasted := rampShortest; lasted <= rampLongest; lasted++ {
		if l := fit(jobs[:min(lasted+rampBefore, len(jobs))], lasted); l.gain > best.gain {
			best = l
		}
	}
	if best.gain < rampSure || best.lasted > rampYoung {
		return 0
	}
	level := best.base + best.step*float64(best.lasted)
	comes := level + best.step*(float64(ahead)/float64(rampSpan)+0.5) // half of the newest span is over, on the mean
	return min(comes, risesMost*level) * size / rampSpan.Seconds()
}

// line is a steady number of jobs a span that rises by a step each span from some time on.
type line struct {
	base, step float64
	lasted     int     // spans since then
	gain       float64 // how much likelier it is than a steady number, in logarithms
}

// fit returns the line that has risen for some spans and is likeliest for the numbers of jobs of
// the last spans, the newest first; the zero line for one that does not rise.
func fit(jobs []float64, lasted int) line {
	since, before := 0.0, 0.0
	for n, j := range jobs {
		if n < lasted {
			since += j
		} else {
			before += j
		}
	}
	base := before / float64(len(jobs)-lasted)
	step := (since - base*float64(lasted)) / (float64(lasted) * float64(lasted) / 2)
	if step <= 0 {
		return line{}
	}
	l := line{base: max(base, leastBase), step: step, lasted: lasted}
	flat := (since + before) / float64(len(jobs))
	for n, j := range jobs {
		of := l.base
		if n < lasted {
			of += step * (float64(lasted-n) - 0.5)
		}
		l.gain += j*math.Log(of/flat) - of + flat
	}
	return l
}
