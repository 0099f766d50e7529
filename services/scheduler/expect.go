// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// mean is the mean of what was seen lately.
type mean struct {
	value float64
	count int
}

// meanWeight is the least weight of a new value: high enough to follow a change
// within a handful of runs.
const meanWeight = 0.15

// add takes one more value.
func (m *mean) add(v float64) {
	m.count++
	m.value += (v - m.value) * math.Max(1/float64(m.count), meanWeight)
}

// trend is a line through the logarithms of estimates and run times. Callers'
// estimates are off by a factor that differs from job to job, so that a far
// estimate tells less than how long the queue's tasks usually run.
type trend struct {
	count      float64
	x, y       float64 // means
	xx, xy, yy float64 // sums of products of the distances from the means
}

// What is taken for granted about a line before it is measured.
const (
	priorSlope  = 0.5
	priorWeight = 4.0 // observations that the slope is worth
	priorSpread = 0.3 // variance of a logarithm about the line
)

// add takes one more pair.
func (t *trend) add(x, y float64) {
	t.count++
	dx, dy := x-t.x, y-t.y
	t.x += dx / t.count
	t.y += dy / t.count
	t.xx += dx * (x - t.x)
	t.yy += dy * (y - t.y)
	t.xy += dx * (y - t.y)
}

// at returns the mean run time for an estimate, both as logarithms of seconds
// but for the mean, which is in seconds.
func (t *trend) at(x float64) float64 {
	if t.count == 0 {
		return math.Exp(x)
	}
	slope := (t.xy + priorWeight*priorSlope) / (t.xx + priorWeight)
	spread := (max(t.yy-slope*t.xy, 0) + priorWeight*priorSpread) / (t.count + priorWeight)
	return math.Exp(t.y + slope*(x-t.x) + spread/2)
}

// expect returns how long a task of a step of a queue is expected to run,
// restoring aside: by its image where that is known, else by its estimate and
// what run times of the queue have been to estimates.
func (p *Pool) expect(queue string, s *job.Step) time.Duration {
	if m := p.images[s.Image]; s.Image != "" && m != nil {
		return seconds(m.value)
	}
	t := p.times[queue]
	if t == nil || s.Estimate <= 0 {
		return s.Estimate
	}
	return seconds(t.at(math.Log(s.Estimate.Seconds())))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sameStep is how many tasks of a step tell how long its others run: they differ
// by a tenth or two.
const sameStep = 1

// expectStep returns the same for a step under way, some tasks of which may be
// done.
func (p *Pool) expectStep(j *jobState, s *stepState) time.Duration {
	if s.took.count >= sameStep {
		return seconds(s.took.value)
	}
	return p.expect(j.sub.Queue, s.spec)
}

// learn takes the run time of a task that has ended as done.
func (p *Pool) learn(j *jobState, s *stepState, took time.Duration) {
	s.took.add(took.Seconds())
	if s.spec.Image != "" {
		m := p.images[s.spec.Image]
		if m == nil {
			m = &mean{}
			p.images[s.spec.Image] = m
		}
		m.add(took.Seconds())
	}
	if s.spec.Estimate <= 0 || took <= 0 || s.took.count > 1 {
		return // tasks of a step are alike, so that one of them tells what the others do
	}
	t := p.times[j.sub.Queue]
	if t == nil {
		t = &trend{}
		p.times[j.sub.Queue] = t
	}
	t.add(math.Log(s.spec.Estimate.Seconds()), math.Log(took.Seconds()))
}
