// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/services/port"
)

// Order is an order to a worker about a run.
type Order struct {
	Run      *run
	Stop     bool
	CPUShare bool

	tokenRaises uint64 // part of its token, once it is sent
	address     string // to which it was sent
}

// StartOrder records that the start order of a run is sent, and returns it with a deadline on the
// worker's clock.
func (p *Pool) StartOrder(o Order, now time.Time) port.Start {
	u := o.Run
	u.sent = true
	u.sentAt = now
	u.sendCount++
	return port.Start{
		Task: u.name, Number: u.number, Spec: u.job.sub.Spec, Checkpoint: u.task().checkpoint, Ticket: u.ticket.text,
		Deadline: u.worker.startDeadline(now, startTransit), Token: p.token(u.worker), StartedAt: u.worker.startedAt,
	}
}

// isStart reports whether an order is to start its run.
func (o Order) isStart() bool { return !o.Stop && !o.CPUShare }

// Valid reports whether an order is still to be sent.
func (o Order) Valid() bool {
	switch {
	case o.Run.phase == finished:
		return false
	case o.Stop:
		return !o.Run.stopAccepted
	case o.CPUShare:
		return o.Run.phase == running && !o.Run.stopping
	}
	return o.Run.phase == ordered && !o.Run.stopping // a stop also prevents a start that arrives later
}

// StopOrder returns the order to stop the run.
func (p *Pool) StopOrder(o Order) port.Stop {
	return port.Stop{Task: o.Run.name, Number: o.Run.number, Token: p.token(o.Run.worker), StartedAt: o.Run.worker.startedAt}
}

// CPUShareOrder returns the order to limit the run to its CPU share.
func (p *Pool) CPUShareOrder(o Order) port.CPUShare {
	return port.CPUShare{Task: o.Run.name, Number: o.Run.number, Percent: o.Run.cpuShare, Token: p.token(o.Run.worker), StartedAt: o.Run.worker.startedAt}
}
