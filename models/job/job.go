// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"slices"
	"strings"
	"time"
)

// ID identifies a job; the caller chooses it.
type ID string

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in the state never runs again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Size is the capacity that a task takes on a worker, or that a worker has.
type Size struct {
	CPU          int `cbor:"1,keyasint,omitempty" json:"cpu,omitempty"`          // thousandths of a core
	MemoryMB     int `cbor:"2,keyasint,omitempty" json:"memory_mb,omitempty"`    // MiB
	Accelerators int `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"` // count
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.CPU + o.CPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of two sizes.
func (s Size) Minus(o Size) Size {
	return Size{s.CPU - o.CPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Times returns the size multiplied by n.
func (s Size) Times(n int) Size { return Size{s.CPU * n, s.MemoryMB * n, s.Accelerators * n} }

// Scale returns the size multiplied by a fraction.
func (s Size) Scale(fraction float64) Size {
	return Size{int(float64(s.CPU) * fraction), int(float64(s.MemoryMB) * fraction), int(float64(s.Accelerators) * fraction)}
}

// Max returns the maximum of two sizes in each dimension.
func (s Size) Max(o Size) Size {
	return Size{max(s.CPU, o.CPU), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Min returns the minimum of two sizes in each dimension.
func (s Size) Min(o Size) Size {
	return Size{min(s.CPU, o.CPU), min(s.MemoryMB, o.MemoryMB), min(s.Accelerators, o.Accelerators)}
}

// CountIn returns how many times a size fits into another one, at most a number.
func (s Size) CountIn(free Size, most int) int {
	n := 0
	for n < most && s.Times(n+1).FitsIn(free) {
		n++
	}
	return n
}

// FitsIn reports whether the size fits in a free capacity.
func (s Size) FitsIn(free Size) bool {
	return s.CPU <= free.CPU && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// Step is a number of identical tasks of a job.
type Step struct {
	Count            int           `cbor:"1,keyasint"`
	Size             Size          `cbor:"2,keyasint"`            // of each task
	Estimate         time.Duration `cbor:"3,keyasint,omitempty"`  // of a task's run time, by the caller; often inaccurate
	DependsOn        []int         `cbor:"4,keyasint,omitempty"`  // indexes of earlier steps that must be done
	Checkpointing    bool          `cbor:"5,keyasint,omitempty"`  // a later run can resume from a checkpoint of an earlier one
	Gang             bool          `cbor:"6,keyasint,omitempty"`  // the tasks run and end together
	SameRack         bool          `cbor:"7,keyasint,omitempty"`  // slow when spread over racks
	Label            string        `cbor:"8,keyasint,omitempty"`  // that a worker must have, "" for none
	Rack             string        `cbor:"9,keyasint,omitempty"`  // where the data is, "" for anywhere
	MaxPerWorker     int           `cbor:"10,keyasint,omitempty"` // tasks of one round on one worker, 0 for no limit
	AllowDuplicates  bool          `cbor:"11,keyasint,omitempty"` // copies of a task may run in parallel
	LongRunning      bool          `cbor:"12,keyasint,omitempty"` // the tasks run until the job is cancelled
	Image            string        `cbor:"13,keyasint,omitempty"` // what is run; tasks with the same image behave alike
	LatencyObjective time.Duration `cbor:"14,keyasint,omitempty"` // for the tail latency of the service that the task provides, 0 for none
	Backfill         bool          `cbor:"15,keyasint,omitempty"` // uses only the CPU time that other tasks leave unused
	MaxUnavailable   int           `cbor:"16,keyasint,omitempty"` // tasks that planned work may make unavailable at a time, 0 if not set
}

// Reservation returns the capacity that a task of the step reserves on a worker: a backfill task
// reserves no CPU.
func (s *Step) Reservation() Size {
	size := s.Size
	if s.Backfill {
		size.CPU = 0
	}
	return size
}

// Submission is a job as its caller describes it.
type Submission struct {
	ID          ID            `cbor:"1,keyasint"`
	Queue       string        `cbor:"2,keyasint"`           // key of the queue that it was submitted to
	Spec        string        `cbor:"3,keyasint,omitempty"` // passed to each task unchanged
	Steps       []Step        `cbor:"4,keyasint"`
	RepeatCount int           `cbor:"5,keyasint,omitempty"` // number of rounds of the steps, 0 for a single immediate one
	FirstDue    time.Time     `cbor:"6,keyasint,omitempty"` // when the first round is due
	Interval    time.Duration `cbor:"7,keyasint,omitempty"` // from one round to the next
	Customer    string        `cbor:"8,keyasint,omitempty"` // owner of the job, "" for none
}

// AccessibleBy reports whether a call on behalf of a customer, "" for none, may read, cancel or
// resubmit the job. A job without a customer is open to everyone who may call its queue.
func (s *Submission) AccessibleBy(customer string) bool {
	return s.Customer == "" || s.Customer == customer
}

// Rounds returns how many times the steps run.
func (s *Submission) Rounds() int { return max(s.RepeatCount, 1) }

// DueAt returns when a round is due; a job without a repeat count is always due.
func (s *Submission) DueAt(round int) time.Time {
	if s.RepeatCount == 0 {
		return time.Time{}
	}
	return s.FirstDue.Add(time.Duration(round) * s.Interval)
}

// Features lists the special features of the job's steps, for logs.
func (s *Submission) Features() string {
	var kinds []string
	add := func(has bool, kind string) {
		if has && !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	add(s.RepeatCount > 0, "times")
	for i := range s.Steps {
		o := &s.Steps[i]
		add(o.LongRunning, "lasting")
		add(o.Backfill, "filling")
		add(o.LatencyObjective > 0, "target")
		add(o.Gang, "gang")
		add(o.SameRack, "same-rack")
		add(o.Label != "", "label:"+o.Label)
		add(o.Rack != "", "data")
		add(o.MaxPerWorker > 0, "apart")
		add(o.AllowDuplicates, "copies")
		add(o.Checkpointing, "checkpoints")
	}
	return strings.Join(kinds, " ")
}

// HasLongRunning reports whether a step of the job runs until the job is cancelled.
func (s *Submission) HasLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// TasksPerRound returns the number of tasks of all steps of one round.
func (s *Submission) TasksPerRound() int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return tasks
}
