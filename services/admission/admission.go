// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
)

// Request is a job that is submitted.
type Request struct {
	Job       job.ID
	Customer  string
	Queue     string
	Load      Load          // of all its tasks
	Latest    time.Duration // the longest wait after which it is in time
	Useful    time.Duration // the longest wait after which it is of some value
	Remaining time.Duration // the caller's remaining time, 0 for unknown
}

// Load is work that waits.
type Load struct {
	Work capacity.Work // of the tasks, with the time for which they occupy capacity
	Size job.Size      // of the tasks, if all of them ran
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load { return Load{l.Work.Plus(o.Work), l.Size.Plus(o.Size)} }

// Lane is capacity and the work on it that concerns a job.
type Lane struct {
	Outlook capacity.Outlook
	// Ahead is what is done before the job.
	Ahead Load
	// Behind is accepted work that is done after the job, in the order of the waits after which it is
	// still in time.
	Behind []Due
}

// Due is work that is in time after a wait of at most Latest.
type Due struct {
	Latest time.Duration
	Load   Load
}

// State is what is known of a pool when a job is submitted; it is immutable.
type State struct {
	// Pool is the pool's capacity, with the work of all customers.
	Pool Lane
	// Limit is the capacity that the customer's limit and allowance permit, with the customer's own
	// work. Its zero value means no limit.
	Limit Lane
	// ShareUsed is what the customer has used of the pool lately, as a multiple of its share.
	ShareUsed float64
	// FleetKnown reports whether the role for instances has told what it brings and could bring.
	FleetKnown bool
	// FleetAge is the age of that report.
	FleetAge time.Duration
	// StartDelay is by how much the starts of runs take longer than the longest wait allows for, as they do
	// on a slow store.
	StartDelay time.Duration
	// Overloaded means that much work has been overdue for long. It and OverloadWait are set only if a
	// decision looks at them, see ByOverload.
	Overloaded bool
	// OverloadWait is the expected wait of the job if the pool counts as overloaded.
	OverloadWait time.Duration
}

// ByOverload reports whether Completion decides about a job as Overload does: it is not known what the
// fleet can bring, or no known capacity does the job.
func (s State) ByOverload(r Request) bool {
	return !s.FleetKnown || s.Pool.Outlook.TimeFor(r.Load.Work) == capacity.Never
}

// Ahead returns the work ahead that a reason is about.
func (s State) Ahead(r Reason) Load {
	if r == OverLimit {
		return s.Limit.Ahead
	}
	return s.Pool.Ahead
}

// Reason says why a job is accepted or refused.
type Reason string

// Reasons of a decision.
const (
	InTime     Reason = "in-time"    // it is expected to end in time
	Brought    Reason = "brought"    // the fleet is bringing what it needs, and it is late by no more than that takes
	Exempt     Reason = "exempt"     // known, long-running and repeated jobs have their own terms
	Overloaded Reason = "overloaded" // the pool counts as overloaded, and the job would wait for too long
	Late       Reason = "late"       // it would wait for too long for what comes before it
	Displaces  Reason = "displaces"  // accepted work would be late by it
	OverLimit  Reason = "over-limit" // it would wait for too long within its customer's limit
)

// Decision says whether a job is accepted.
type Decision struct {
	Accepted bool
	Reason   Reason
	Wait     time.Duration // the expected wait of the job
	// After is, for a refusal, the time until such a job would be in time; capacity.Never if none is
	// known.
	After time.Duration
}

// Policy is a way to decide; it keeps no state.
type Policy struct {
	Name   string
	Decide func(Request, State) Decision
	// KeepsPlaces means that what was accepted keeps its place: refused callers are promised a second, and a
	// pool that counts as overloaded does not change the order of its work.
	KeepsPlaces bool
}
