// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import "time"

// EndReason is the way in which a run ended.
type EndReason string

// The ways in which a run ends.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"  // by its own fault or the worker's
	Stopped        EndReason = "stopped" // it was told to
	LeaseExpired   EndReason = "lapsed"  // its lease ran out
	GangBroken     EndReason = "broken"  // another member of its gang ended
	GangIncomplete EndReason = "alone"   // it waited too long for the others of its gang
)

// Run is one row of what a worker has under way.
type Run struct {
	Task       string
	Number     int
	Checkpoint string // newest saved, "" for none
	Percent    int    // of its work; 100 for a lasting task that serves
	Load       int    // for a task that serves users the tail of its answers in milliseconds, else the thousandths of a core in use
}

// EndedRun is one row of what has ended on a worker.
type EndedRun struct {
	Sequence   int // within the worker's life, from 1
	Task       string
	Number     int
	Reason     EndReason
	Checkpoint string
}

// PollResult is one answer of a worker to a look at it.
type PollResult struct {
	Clock     time.Duration // of the worker, which may be slow
	StartedAt int64         // when the worker has started, as in Worker
	Runs      []Run
	Ends      []EndedRun
}
