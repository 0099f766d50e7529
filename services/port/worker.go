// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
)

// Start is an order to begin a run.
type Start struct {
	Task       string
	Number     int
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   time.Duration // on the worker's clock: after it the order is refused, and until it what runs there is kept alive
	Token      uint64
}

// Stop is an order to end a run.
type Stop struct {
	Task   string
	Number int
	Token  uint64
}

// CPUShare is an order to let a run work at a share of its speed.
type CPUShare struct {
	Task    string
	Number  int
	Percent int
	Token   uint64
}

// Poll asks what a worker runs and what has ended there.
type Poll struct {
	Deadline     time.Duration // of all that runs there, on the worker's clock; 0 leaves it
	Token        uint64
	Acknowledged int           // ends up to this sequence number may be forgotten
	Wait         time.Duration // for an end
}

// Result is a worker's answer to an order.
type Result string

// The verdicts of a worker.
const (
	Accepted         Result = "taken"     // done, now or before
	TokenTooLow      Result = "too-low"   // a higher token has been seen: nothing done
	Outdated         Result = "outdated"  // this run or a later one is over there: nothing done
	DeadlinePassed   Result = "late"      // the deadline has passed: nothing done
	NoCapacity       Result = "no-room"   // nothing done
	BadTicket        Result = "ticket"    // nothing done
	Refused          Result = "refused"   // the worker is not well or the order is wrong: nothing done
	OtherIncarnation Result = "other"     // the worker's life is over
	Unknown          Result = "unknown"   // no answer: it may be done, now or later
	Unreachable      Result = "unreached" // no channel was had: nothing done
)

// Response is what came back on an order.
type Response struct {
	Result Result
	Clock  time.Duration // of the worker, 0 where the answer does not tell
	Err    error         // of the channel, for the logs
}

// Link carries orders and looks to one worker, each over a channel of its own.
type Link struct {
	Start       func(ctx context.Context, s Start) Response
	Stop        func(ctx context.Context, s Stop) Response
	SetCPUShare func(ctx context.Context, p CPUShare) Response
	Poll        func(ctx context.Context, l Poll) (worker.PollResult, Response)
	Close       func()
}

// Workers are the platform's workers.
type Workers struct {
	// Open returns a link to a worker; nothing is sent until an order is.
	Open func(w worker.Worker) *Link
}
