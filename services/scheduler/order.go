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

	raised uint64 // part of its token, once it is given
}

// StartOrder notes that the order to begin a run is sent, and returns it, with a
// deadline on the worker's clock.
func (p *Pool) StartOrder(o Order, now time.Time) port.Start {
	u := o.Run
	u.sent = true
	u.sentAt = now
	u.tries++
	return port.Start{
		Task: u.name, Number: u.number, Spec: u.job.sub.Spec, Checkpoint: u.task().checkpoint, Ticket: u.ticket.text,
		Deadline: u.at.ordered(now, startTravel), Token: p.token(u.at),
	}
}

// starts reports whether an order is to begin its run.
func (o Order) starts() bool { return !o.Stop && !o.CPUShare }

// Valid reports whether an order still is to be given.
func (o Order) Valid() bool {
	switch {
	case o.Run.phase == over:
		return false
	case o.Stop:
		return !o.Run.stopped
	case o.CPUShare:
		return o.Run.phase == running && !o.Run.stopping
	}
	return o.Run.phase == ordered && !o.Run.stopping // a stop also prevents a start that comes later
}

// StopOrder returns the order to end the run.
func (p *Pool) StopOrder(o Order) port.Stop {
	return port.Stop{Task: o.Run.name, Number: o.Run.number, Token: p.token(o.Run.at)}
}

// CPUShareOrder returns the order to let the run work at its share.
func (p *Pool) CPUShareOrder(o Order) port.CPUShare {
	return port.CPUShare{Task: o.Run.name, Number: o.Run.number, Percent: o.Run.pace, Token: p.token(o.Run.at)}
}
