// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import "time"

// EndReason is the reason why a run ended.
type EndReason string

// The reasons why a run ends.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"  // by its own fault or the worker's
	Stopped        EndReason = "stopped" // stopped by an order
	LeaseExpired   EndReason = "lapsed"  // its lease expired
	GangBroken     EndReason = "broken"  // another member of its gang ended
	GangIncomplete EndReason = "alone"   // it waited too long for the other members of its gang
)

// Run is a current run of a worker.
type Run struct {
	Task       string
	Number     int
	Checkpoint string // newest persisted one, "" for none
	Percent    int    // of its work; 100 for a long-running task that serves
	Load       int    // for a task that serves users the tail latency in milliseconds, otherwise the thousandths of a core in use
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Sequence   int // within the worker's incarnation, from 1
	Task       string
	Number     int
	Reason     EndReason
	Checkpoint string
}

// PollResult is the response of a worker to a poll.
type PollResult struct {
	Clock     time.Duration // of the worker, which may be slow
	StartedAt int64         // start time of the worker, as in Worker
	Runs      []Run         // all of them
	Ends      []EndedRun
	// Connection is the connection that carried the list, 0 if unknown; one that was opened to a worker's incarnation
	// reaches no later one.
	Connection uint64
	// Truncated means that more runs may have ended than Ends lists; the others are listed once these are acknowledged.
	Truncated bool
}
