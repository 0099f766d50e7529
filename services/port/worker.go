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

// Pace is an order to let a run work at a share of its speed.
type Pace struct {
	Task    string
	Number  int
	Percent int
	Token   uint64
}

// Look asks what a worker runs and what has ended there.
type Look struct {
	Deadline time.Duration // of all that runs there, on the worker's clock; 0 leaves it
	Token    uint64
	Seen     int           // ends up to this sequence number may be forgotten
	Wait     time.Duration // for an end
}

// Verdict is a worker's answer to an order.
type Verdict string

// The verdicts of a worker.
const (
	Taken     Verdict = "taken"     // done, now or before
	TooLow    Verdict = "too-low"   // a higher token has been seen: nothing done
	Outdated  Verdict = "outdated"  // this run or a later one is over there: nothing done
	Late      Verdict = "late"      // the deadline has passed: nothing done
	NoRoom    Verdict = "no-room"   // nothing done
	BadTicket Verdict = "ticket"    // nothing done
	Refused   Verdict = "refused"   // the worker is not well or the order is wrong: nothing done
	OtherLife Verdict = "other"     // the worker's life is over
	Unknown   Verdict = "unknown"   // no answer: it may be done, now or later
	Unreached Verdict = "unreached" // no channel was had: nothing done
)

// Answer is what came back on an order.
type Answer struct {
	Verdict Verdict
	Clock   time.Duration // of the worker, 0 where the answer does not tell
	Err     error         // of the channel, for the logs
}

// Link carries orders and looks to one worker, each over a channel of its own.
type Link struct {
	Start func(ctx context.Context, s Start) Answer
	Stop  func(ctx context.Context, s Stop) Answer
	Pace  func(ctx context.Context, p Pace) Answer
	Look  func(ctx context.Context, l Look) (worker.Listing, Answer)
	Close func()
}

// Workers are the platform's workers.
type Workers struct {
	// Open returns a link to a worker; nothing is sent until an order is.
	Open func(w worker.Worker) *Link
}
