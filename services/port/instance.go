// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// Condition is the operating state of an instance.
type Condition string

// Conditions of an instance.
const (
	Up          Condition = "up"
	Moving      Condition = "moving"
	Maintenance Condition = "maintenance"
	Down        Condition = "down"
)

// Instance is one row of the platform's list of instances.
type Instance struct {
	Name       string
	Pool       string
	Condition  Condition
	DataCenter string
	Labels     []string
	Capacity   job.Size
	Worker     worker.ID // its current incarnation, "" for none
}

// Issuer identifies the sender of an order to an instance by its name and fencing token.
type Issuer struct {
	Holder string
	Token  uint64
}

// Instances is the platform's interface to control instances. Its errors are of these kinds:
// Conflict for a busy instance, Fenced for a token lower than the highest one seen, NotFound for an
// unknown instance, Overloaded for too many calls, LogUnavailable for a call that had no effect,
// and OutcomeUnknown for a call that may have had one.
type Instances struct {
	List func(ctx context.Context) ([]Instance, error)
	// Move moves an instance to a pool; everything that runs there is killed at once.
	Move func(ctx context.Context, p Issuer, instance, pool string) error
	// Maintain takes an instance down for the maintenance of a wave; everything that runs there is
	// killed at once.
	Maintain func(ctx context.Context, p Issuer, instance string, wave int) error
}

// Ticket authorizes a step to run on a worker.
type Ticket struct {
	Worker worker.ID
	Text   string
}

// Advisor is the service that decides which workers may run a step.
type Advisor struct {
	// Advise returns tickets for those of the workers that may run the step.
	Advise func(ctx context.Context, step string, workers []worker.ID) ([]Ticket, error)
}
