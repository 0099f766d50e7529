// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/admission"
)

// Limits are the limits under which a pool is scheduled.
type Limits struct {
	Lease        time.Duration // lease of the runs on a worker, counted from each poll of the worker
	MaxLease     time.Duration // longest lease that a worker accepts
	StopTime     time.Duration // longest time that stopping a run takes
	Retention    time.Duration // how long the state of a finished job stays available
	RemoteFactor float64       // factor by which a task takes longer away from its data
	SlowStart    float64       // share of its capacity that a cold worker gets at its start
	NoAhead      bool          // nothing is placed ahead while the store is slow
}

// Pool is the state of one pool; it is not safe for concurrent use.
type Pool struct {
	Name   string
	Token  uint64 // epoch of the pool's owner, the upper part of the token of every order
	Limits Limits
	Logger log.Logger
	// Isolated stops the extension of leases: the node lacks recent evidence that no other one has taken
	// over the pool.
	Isolated bool
	// Published permits records of workers that do not respond: the owner before this one extends no leases.
	Published bool
	// Clock converts the times passed to the pool to times of day.
	Clock clock.Clock
	// Increment adds one to a counter; nil disables counting.
	Increment func(counter string)
	// Memory is what the jobs of all pools of a process may take of its memory; nil for no limit. A job that is
	// submitted is reserved before.
	Memory *budget.Budget
	// SelectPolicy returns the policy by which jobs are accepted; nil selects by the customers of
	// the configuration.
	SelectPolicy func(hasCustomers bool) admission.Policy

	config            *config.Config
	evacuated         evacuation.List        // no task starts in these data centres
	queues            map[string]*queueState // by key
	changedQueues     []string               // changed since the last batch
	jobs              map[job.ID]*jobState
	footprint         int64       // of all jobs
	active            []*jobState // unfinished jobs, in order of arrival
	workers           map[worker.ID]*workerState
	cordons           map[worker.ID]bool // persisted, or in the batch under construction
	changedCordons    []worker.ID        // cordon changed since the last batch
	lastCordonRequest CordonRequest      // newest request applied, without its lists of workers and accounts
	cordonsReceivedAt time.Time          // when that was
	reports           ReportLog
	silence           silence
	losses            losses
	claims            []*claim // places kept for tasks that are to move
	outlook           outlookCache
	work              Work
	runTimesByQueue   map[string]*regression // relation of run times to estimates, by queue
	runTimesByImage   map[string]*mean       // run times in seconds, by image

	attributed    map[worker.Incarnation][]job.TaskRef // tasks to which the crash of a worker is attributed
	recentCrashes map[worker.Incarnation]time.Time     // time since which recently crashed workers had been unresponsive

	tokenRaises     uint64                     // how often the token of a worker's orders was raised
	persistedStarts map[worker.ID]int64        // incarnation of each worker with runs, as persisted or in the batch in progress
	persistedHealth map[worker.ID]bool         // workers whose health is persisted, or in the batch in progress
	changedHealth   []worker.ID                // health changed since the last batch
	restoredHealth  map[worker.ID]healthRecord // by earlier owners, of workers that are not listed yet
	restoredAt      time.Time                  // when the state of earlier owners was restored
	changedRunning  []*jobState                // jobs whose records of runs seen running have changed since the last batch
	runningDue      bool                       // these records are persisted even if nothing else is
	removedWorkers  []worker.ID                // removed since the last batch
	toReconnect     []worker.ID                // workers that need a new connection

	slowdown          slowdown // of cold workers
	slowStart         slowStart
	slowStartLoggedAt time.Time // when the shares were last logged
	ahead             ahead
	allowances        allowances
	usageByCustomer   map[string]usage // averaged use of the pool, by customer
	usageUpdatedAt    time.Time        // last update of the averages
	arrivals          arrivals
	slack             mean // slack of jobs at submission, in seconds
	startDelay        mean // from the plan of a run until its start is known, in seconds
	policy            admission.Policy
	backlog           backlog
	fleetToldIn       uint64 // epoch of the holder of the role for instances that last told what it brings, 0 for none

	plannedAt time.Time // when Plan was last called
	learnedAt time.Time // plannedAt of the batch that last carried the learned values

	dirty        []*jobState
	leftKeys     []string       // of records that a job which has ended has left in the journal
	ended        []endedJob     // oldest first, removed once expired
	pendingStops []*run         // runs whose stops are not persisted yet
	plannedRuns  []*run         // planned since the last batch was collected
	batch        uint64         // number of the batch under construction
	committed    uint64         // newest batch that is persisted
	eventSeq     uint64         // sequence number of polls and responses, which gives their order
	needsPlan    bool           // capacity was freed or work arrived since the last plan
	overloaded   bool           // the last plan found more demand than the pool can serve
	placedCPU    int            // CPU in use at the end of the last plan, in thousandths of a core
	overdueSince time.Time      // since when much work is overdue although the pool is fully used, zero for not
	planAt       time.Time      // when to plan even if nothing changes, zero for never
	fallbacks    []*workerState // ejected workers that take what no other one could
	// gangUsesEmptying is whether a gang is placed that finds no room without cordoned workers.
	gangUsesEmptying bool
	reach            reach        // as of the last plan or report
	mostlyIdle       bool         // isMostlyIdle, as of the last plan
	untried          []*stepState // steps of jobs without a run that wait in this plan, while workers are on trial
	reservation      reservation
	adviceByPlace    bool               // the next request to the advice service is for the step with the first place
	adviceRetryAt    time.Time          // when the steps without a worker to ask the advice service about are looked at again
	waitLogAt        time.Time          // earliest time of the next log line about a waiting step
	noRoom           []job.Size         // of tasks for which this plan has found no worker with the capacity
	room             *planRoom          // workers with room in this plan, nil between plans
	noWorker         map[*job.Step]bool // steps of which this plan has found no worker for a task that has never been started
	left             bool               // the last plan left out steps that are like others
	pendingWorkers   []worker.ID        // workers marked for processing since PendingWorkers was last called
}

// endedJob is a finished job and the time at which its state expires.
type endedJob struct {
	id        job.ID
	expiresAt time.Time
}

// New returns an empty pool.
func New(name string, token uint64, limits Limits, logger log.Logger) *Pool {
	return &Pool{
		Name: name, Token: token, Limits: limits, Logger: logger,
		queues:          make(map[string]*queueState),
		jobs:            make(map[job.ID]*jobState),
		workers:         make(map[worker.ID]*workerState),
		cordons:         make(map[worker.ID]bool),
		runTimesByQueue: make(map[string]*regression),
		runTimesByImage: make(map[string]*mean),
		attributed:      make(map[worker.Incarnation][]job.TaskRef),
		recentCrashes:   make(map[worker.Incarnation]time.Time),
		persistedStarts: make(map[worker.ID]int64),
		persistedHealth: make(map[worker.ID]bool),
		restoredHealth:  make(map[worker.ID]healthRecord),
		batch:           1,
	}
}

// Configure applies a newer configuration.
func (p *Pool) Configure(c *config.Config) {
	if p.config != nil && c.Version <= p.config.Version {
		return
	}
	p.noteLimits(c)
	p.config = c
	p.selectPolicy()
	p.updateSettings()
	for _, j := range p.active {
		j.queue = p.queueOf(j)
		p.updateObjective(j)
	}
	p.needsPlan = true
}

// SetEvacuated applies a newer list of the data centres under evacuation: what runs there continues,
// and no task starts there.
func (p *Pool) SetEvacuated(l evacuation.List) {
	if l.End < p.evacuated.End {
		return
	}
	p.evacuated = l
	for _, w := range p.workers {
		w.evacuated = l.Has(w.info.DataCenter)
	}
	p.needsPlan = true
}

// markDirty marks a job as changed, so that the next batch persists its state.
func (p *Pool) markDirty(j *jobState) {
	j.changedIn = p.batch
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}
