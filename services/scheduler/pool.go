// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
)

// Limits are the bounds under which a pool is scheduled.
type Limits struct {
	Lease        time.Duration // of what runs on a worker, from each look at it
	MaxLease     time.Duration // the longest that a worker adopts
	StopTime     time.Duration // the most that a stop takes
	Retention    time.Duration // how long the state of an ended job is told
	RemoteFactor float64       // how much longer a task takes away from its data
}

// Pool is the state of one pool; it is not safe for concurrent use.
type Pool struct {
	Name   string
	Token  uint64 // of every order; the epoch of the pool's owner
	Limits Limits
	Logger log.Logger
	// Isolated has leases extended no longer: whether another owner has taken over
	// can't be learned.
	Isolated bool
	// Clock tells which time of day it is at the times that the pool is told.
	Clock clock.Clock
	// Increment adds one to a counter, nil for none.
	Increment func(counter string)

	config    *config.Config
	jobs      map[job.ID]*jobState
	active    []*jobState // those that have not ended, in the order they came
	workers   map[worker.ID]*workerState
	cordons   map[worker.ID]bool // that are kept or in the batch that is being filled
	recordons []worker.ID        // whose cordon has changed since the last batch
	asked     CordonRequest      // the newest question that came, without its lists
	times     map[string]*trend  // what run times are to estimates, by queue
	images    map[string]*mean   // run times in seconds, by image

	blamed map[worker.Incarnation][]job.TaskRef // tasks against which a worker's crash is held
	downs  map[worker.Incarnation]time.Time     // since when workers that have crashed were silent, of late

	raised uint64              // how often the token of a worker's orders was raised
	starts map[worker.ID]int64 // which start of a worker has runs, as it is kept or in the batch under way
	left   []worker.ID         // workers that were forgotten since the last batch
	relink []worker.ID         // workers to be reached anew

	allowed  allowances
	uses     map[string]use // of the pool by customer, averaged
	averaged time.Time      // when they were last
	arrivals arrivals
	slack    mean // seconds that jobs have when they come

	dirty        []*jobState
	ended        []endedJob            // oldest first, to be forgotten
	stops        []*run                // whose stops are not kept yet
	planned      []*run                // since the last batch was collected
	batch        uint64                // number of the batch that is being filled
	committed    uint64                // newest batch that is kept for good
	stamp        uint64                // counts looks and answers, to tell their order
	moved        bool                  // something was freed or came since the last plan
	overloaded   bool                  // more had come than the pool can do, at the last plan
	placedCPU    int                   // in use at the end of the last plan, in thousandths of a core
	overdueSince time.Time             // since when much is overdue though the pool is full, zero for not
	wake         time.Time             // when to plan though nothing has changed, zero for never
	reservedFor  *stepState            // gang that workers are kept free for in this plan, nil for none
	reserved     map[*workerState]bool // those workers
	out          []worker.ID           // workers with orders that were queued since they were last asked for
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
		times:   make(map[string]*trend),
		images:  make(map[string]*mean),
		blamed:  make(map[worker.Incarnation][]job.TaskRef),
		downs:   make(map[worker.Incarnation]time.Time),
		starts:  make(map[worker.ID]int64),
		batch:   1,
	}
}

// Configure takes over a newer configuration.
func (p *Pool) Configure(c *config.Config) {
	if p.config != nil && c.Version <= p.config.Version {
		return
	}
	p.relimit(c)
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
