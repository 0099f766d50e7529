// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// Condition is what an instance does.
type Condition string

// The conditions of an instance.
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
	Worker     worker.ID // its life, "" for none
}

// Issuer names who gives an order to an instance, and with which right.
type Issuer struct {
	Holder string
	Token  uint64
}

// Instances is the platform's control of its instances. The kinds of its errors
// are: Conflict for an instance that is busy, Fenced for a lower token, NotFound
// for none such, Overloaded for too many calls, LogUnavailable for a call that
// has done nothing, and OutcomeUnknown for one that may have.
type Instances struct {
	List func(ctx context.Context) ([]Instance, error)
	// Move takes an instance to a pool; all that runs there dies at once.
	Move func(ctx context.Context, p Issuer, instance, pool string) error
	// Maintain takes an instance down for the maintenance of a wave; all that
	// runs there dies at once.
	Maintain func(ctx context.Context, p Issuer, instance string, wave int) error
}

// Ticket lets a step run on a worker.
type Ticket struct {
	Worker worker.ID
	Text   string
}

// Advisor is the service that knows which workers may run a step.
type Advisor struct {
	// Advise returns tickets for those of the workers that may run the step.
	Advise func(ctx context.Context, step string, workers []worker.ID) ([]Ticket, error)
}
