// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
)

// Start is an order to start a run.
type Start struct {
	Task       string
	Number     int
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   time.Duration // on the worker's clock: after it the order is refused, and until it the runs there are kept alive
	Token      uint64
	StartedAt  int64 // start time of the incarnation that the order is for, which no other one gets; 0 for any
}

// Stop is an order to stop a run.
type Stop struct {
	Task      string
	Number    int
	Token     uint64
	StartedAt int64 // as in Start
}

// CPUShare is an order to run at a share of the full CPU speed.
type CPUShare struct {
	Task      string
	Number    int
	Percent   int
	Token     uint64
	StartedAt int64 // as in Start
}

// Poll queries what a worker runs and which runs have ended there.
type Poll struct {
	Deadline     time.Duration // of all runs there, on the worker's clock; 0 leaves it unchanged
	Token        uint64
	Acknowledged int           // ends up to this sequence number may be forgotten
	Connection   uint64        // that carried the newest list: over another one, neither is the deadline extended nor anything acknowledged; 0 for any
	Wait         time.Duration // maximum time to wait for an end
}

// Result is how a worker handled an order.
type Result string

// Results of orders.
const (
	Accepted         Result = "taken"               // done, now or before
	TokenTooLow      Result = "too-low"             // nothing done: a higher token has been seen
	Outdated         Result = "outdated"            // nothing done: this run or a later one has ended there
	DeadlinePassed   Result = "late"                // nothing done: the deadline has passed
	NoCapacity       Result = "no-room"             // nothing done: no free capacity
	BadTicket        Result = "ticket"              // nothing done: the ticket is not valid
	Refused          Result = "refused"             // nothing done: the worker is unhealthy or the order is invalid
	OtherIncarnation Result = "other"               // nothing done: a worker with another ID has received it
	Restarted        Result = "restarted"           // not sent: another incarnation than the order's responds under the worker's ID
	Unidentified     Result = "unknown-incarnation" // not sent: no incarnation of the worker has identified itself in time
	Unknown          Result = "unknown"             // no response: it may be done, now or later
	Unreachable      Result = "unreached"           // nothing done: no connection was available
)

// Response is the response to an order.
type Response struct {
	Result Result
	Clock  time.Duration // the worker's clock, 0 if the response does not contain it
	Err    error         // of the connection, for the logs
}

// Link sends orders and polls to one worker, each over its own connection.
type Link struct {
	Start       func(ctx context.Context, s Start) Response
	Stop        func(ctx context.Context, s Stop) Response
	SetCPUShare func(ctx context.Context, p CPUShare) Response
	Poll        func(ctx context.Context, l Poll) (worker.PollResult, Response)
	Close       func()
}

// Workers are the platform's workers.
type Workers struct {
	// Open returns a link to a worker without sending anything.
	Open func(w worker.Worker) *Link
}
