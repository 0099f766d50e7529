// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
)

// Limits are the bounds under which a pool is scheduled.
type Limits struct {
	Lease    time.Duration // of what runs on a worker, from each look at it
	StopTime time.Duration // the most that a stop takes
	Keep     time.Duration // how long the state of an ended job is told
	FarTimes float64       // how much longer a task takes away from its data
}

// Pool is the state of one pool; it is not safe for concurrent use.
type Pool struct {
	Name   string
	Token  uint64 // of every order; the epoch of the pool's owner
	Limits Limits
	Logger log.Logger

	config    *config.Config
	jobs      map[job.ID]*jobState
	active    []*jobState // those that have not ended, in the order they came
	workers   map[worker.ID]*workerState
	cordons   map[worker.ID]bool // that are kept or in the batch that is being filled
	recordons []worker.ID        // whose cordon has changed since the last batch
	images    map[string]*timing
	ratio     timing // of run time to estimate, over all images

	dirty     []*jobState
	ended     []endedJob  // oldest first, to be forgotten
	planned   []*run      // since the last batch was collected
	batch     uint64      // number of the batch that is being filled
	committed uint64      // newest batch that is kept for good
	stamp     uint64      // counts looks and answers, to tell their order
	moved     bool        // something was freed or came since the last plan
	wake      time.Time   // when to plan though nothing has changed, zero for never
	out       []worker.ID // workers with orders that were queued since they were last asked for
}

// endedJob is an ended job and when it is forgotten.
type endedJob struct {
	id job.ID
	at time.Time
}

// New returns an empty pool.
func New(name string, token uint64, limits Limits, logger log.Logger) *Pool {
	return &Pool{
		Name: name, Token: token, Limits: limits, Logger: logger,
		jobs:    make(map[job.ID]*jobState),
		workers: make(map[worker.ID]*workerState),
		cordons: make(map[worker.ID]bool),
		images:  make(map[string]*timing),
		batch:   1,
	}
}

// Configure takes over a newer configuration.
func (p *Pool) Configure(c *config.Config) {
	if p.config != nil && c.Version <= p.config.Version {
		return
	}
	p.config = c
	for _, j := range p.active {
		j.queue = p.queueOf(j)
		p.weigh(j)
	}
	p.moved = true
}

// queueOf returns the queue of a job, the one it had where the newest
// configuration has none.
func (p *Pool) queueOf(j *jobState) config.Queue {
	if p.config != nil {
		if q := p.config.Queue(j.sub.Queue); q != nil {
			return *q
		}
	}
	return j.queue
}

// touch marks a job as changed, so that the next batch keeps its state.
func (p *Pool) touch(j *jobState) {
	j.changed = p.batch
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// timing is what is known of how long something takes.
type timing struct {
	mean  float64 // seconds, or a ratio
	count int
}

// timingWeight is the least weight of a new value in a mean: high enough to
// follow a change within a handful of runs.
const timingWeight = 0.15

// add takes one more value into the mean.
func (t *timing) add(v float64) {
	t.count++
	t.mean += (v - t.mean) * math.Max(1/float64(t.count), timingWeight)
}

// expect returns how long a task of the step is expected to run, restoring
// aside: by its image where that is known, else by the customer's estimate and
// how far estimates have been off.
func (p *Pool) expect(s *job.Step) time.Duration {
	if t := p.images[s.Image]; t != nil && s.Image != "" && t.count > 0 {
		return time.Duration(t.mean * float64(time.Second))
	}
	if p.ratio.count > 0 {
		return time.Duration(float64(s.Estimate) * p.ratio.mean)
	}
	return s.Estimate
}

// learn takes the run time of a task that has ended as done.
func (p *Pool) learn(s *job.Step, took time.Duration) {
	if s.Image != "" {
		t := p.images[s.Image]
		if t == nil {
			t = &timing{}
			p.images[s.Image] = t
		}
		t.add(took.Seconds())
	}
	if s.Estimate > 0 {
		p.ratio.add(took.Seconds() / s.Estimate.Seconds())
	}
}
