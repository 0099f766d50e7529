// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// mean is a moving mean of recent values.
type mean struct {
	value float64
	count int
}

// minMeanWeight is the minimum weight of a new value: high enough to follow a change within a
// handful of runs.
const minMeanWeight = 0.15

// add adds a value.
func (m *mean) add(v float64) {
	m.count++
	m.value += (v - m.value) * math.Max(1/float64(m.count), minMeanWeight)
}

// regression is a linear regression of the logarithms of run times on those of estimates. Callers'
// estimates are off by a factor that differs from job to job, so that an extreme estimate says less
// than the typical run time of the queue's tasks.
type regression struct {
	count      float64
	x, y       float64 // means
	xx, xy, yy float64 // sums of products of the deviations from the means
}

// The prior of a regression.
const (
	priorSlope  = 0.5
	priorWeight = 4.0 // observations that the prior slope counts for
	priorSpread = 0.3 // variance of a logarithm about the line
)

// add adds a pair of values.
func (t *regression) add(x, y float64) {
	t.count++
	dx, dy := x-t.x, y-t.y
	t.x += dx / t.count
	t.y += dy / t.count
	t.xx += dx * (x - t.x)
	t.yy += dy * (y - t.y)
	t.xy += dx * (y - t.y)
}

// at returns the mean run time, in seconds, for the logarithm of an estimate in seconds.
func (t *regression) at(x float64) float64 {
	if t.count == 0 {
		return math.Exp(x)
	}
	slope := (t.xy + priorWeight*priorSlope) / (t.xx + priorWeight)
	spread := (max(t.yy-slope*t.xy, 0) + priorWeight*priorSpread) / (t.count + priorWeight)
	return math.Exp(t.y + slope*(x-t.x) + spread/2)
}

// expectedRunTime returns how long a task of a step is expected to run, without restoring a
// checkpoint: the mean of its image if that is known, otherwise by its estimate and how run times
// of the queue relate to estimates.
func (p *Pool) expectedRunTime(queue string, s *job.Step) time.Duration {
	if m := p.runTimesByImage[s.Image]; s.Image != "" && m != nil {
		return seconds(m.value)
	}
	t := p.runTimesByQueue[queue]
	if t == nil || s.Estimate <= 0 {
		return s.Estimate
	}
	return seconds(t.at(math.Log(s.Estimate.Seconds())))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// stepSamples is how many finished tasks of a step suffice to predict the others: their run times
// differ by a tenth or two.
const stepSamples = 1

// expectedStepTime returns the expected run time for a step in progress, some tasks of which may be
// done.
func (p *Pool) expectedStepTime(j *jobState, s *stepState) time.Duration {
	if s.runTimes.count >= stepSamples {
		return seconds(s.runTimes.value)
	}
	return p.expectedRunTime(j.sub.Queue, s.spec)
}

// recordRunTime records the run time of a task that is done.
func (p *Pool) recordRunTime(j *jobState, s *stepState, took time.Duration) {
	s.runTimes.add(took.Seconds())
	if s.spec.Image != "" {
		m := p.runTimesByImage[s.spec.Image]
		if m == nil {
			m = &mean{}
			p.runTimesByImage[s.spec.Image] = m
		}
		m.add(took.Seconds())
	}
	if s.spec.Estimate <= 0 || took <= 0 || s.runTimes.count > 1 {
		return // tasks of a step are alike, so one of them is enough
	}
	t := p.runTimesByQueue[j.sub.Queue]
	if t == nil {
		t = &regression{}
		p.runTimesByQueue[j.sub.Queue] = t
	}
	t.add(math.Log(s.spec.Estimate.Seconds()), math.Log(took.Seconds()))
}
