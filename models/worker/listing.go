// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import "time"

// How is the way in which a run ended.
type How string

// The ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"  // by its own fault or the worker's
	Stopped How = "stopped" // it was told to
	Lapsed  How = "lapsed"  // its lease ran out
	Broken  How = "broken"  // another member of its gang ended
	Alone   How = "alone"   // it waited too long for the others of its gang
)

// Run is one row of what a worker has under way.
type Run struct {
	Task       string
	Number     int
	Checkpoint string // newest saved, "" for none
	Percent    int    // of its work; 100 for a lasting task that serves
	Load       int    // for a task that serves users the tail of its answers in milliseconds, else the thousandths of a core in use
}

// End is one row of what has ended on a worker.
type End struct {
	Sequence   int // within the worker's life, from 1
	Task       string
	Number     int
	How        How
	Checkpoint string
}

// Listing is one answer of a worker to a look at it.
type Listing struct {
	Clock time.Duration // of the worker, which may be slow
	Born  int64         // when the worker has started, as in Worker
	Runs  []Run
	Ends  []End
}
