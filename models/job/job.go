// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"slices"
	"strings"
	"time"
)

// ID names a job; its caller chooses it.
type ID string

// State is what a caller is told of a job.
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

// Size is the room that a task takes on a worker, or that a worker has.
type Size struct {
	CPU          int `cbor:"1,keyasint,omitempty" json:"cpu,omitempty"`          // thousandths of a core
	MemoryMB     int `cbor:"2,keyasint,omitempty" json:"memory_mb,omitempty"`    // MiB
	Accelerators int `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"` // whole ones
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.CPU + o.CPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns what is left of a size without another.
func (s Size) Minus(o Size) Size {
	return Size{s.CPU - o.CPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Times returns the size n times.
func (s Size) Times(n int) Size { return Size{s.CPU * n, s.MemoryMB * n, s.Accelerators * n} }

// Scale returns the size times a part.
func (s Size) Scale(part float64) Size {
	return Size{int(float64(s.CPU) * part), int(float64(s.MemoryMB) * part), int(float64(s.Accelerators) * part)}
}

// Max returns the larger of two sizes in each part.
func (s Size) Max(o Size) Size {
	return Size{max(s.CPU, o.CPU), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Min returns the smaller of two sizes in each part.
func (s Size) Min(o Size) Size {
	return Size{min(s.CPU, o.CPU), min(s.MemoryMB, o.MemoryMB), min(s.Accelerators, o.Accelerators)}
}

// FitsIn reports whether the size has room in the other.
func (s Size) FitsIn(room Size) bool {
	return s.CPU <= room.CPU && s.MemoryMB <= room.MemoryMB && s.Accelerators <= room.Accelerators
}

// Step is a number of like tasks of a job.
type Step struct {
	Count            int           `cbor:"1,keyasint"`
	Size             Size          `cbor:"2,keyasint"`            // of each task
	Estimate         time.Duration `cbor:"3,keyasint,omitempty"`  // of a task's run time, by the caller; often far off
	DependsOn        []int         `cbor:"4,keyasint,omitempty"`  // earlier steps that must be done
	Checkpointing    bool          `cbor:"5,keyasint,omitempty"`  // a later run can go on from what an earlier one saved
	Gang             bool          `cbor:"6,keyasint,omitempty"`  // the tasks run and end together
	SameRack         bool          `cbor:"7,keyasint,omitempty"`  // slow when spread over racks
	Label            string        `cbor:"8,keyasint,omitempty"`  // that a worker must have, "" for none
	Rack             string        `cbor:"9,keyasint,omitempty"`  // where the data lies, "" for anywhere
	MaxPerWorker     int           `cbor:"10,keyasint,omitempty"` // tasks of one time on one worker, 0 for no limit
	AllowDuplicates  bool          `cbor:"11,keyasint,omitempty"` // copies of a task may run side by side
	LongRunning      bool          `cbor:"12,keyasint,omitempty"` // the tasks run until the job is cancelled
	Image            string        `cbor:"13,keyasint,omitempty"` // what is run; tasks of one image behave alike
	LatencyObjective time.Duration `cbor:"14,keyasint,omitempty"` // for the tail latency of what the task serves, 0 for none
	Backfill         bool          `cbor:"15,keyasint,omitempty"` // takes only the processors that others leave unused
	MaxUnavailable   int           `cbor:"16,keyasint,omitempty"` // tasks that may be away at once by our doing, 0 where not stated
}

// Reservation returns what a task of the step takes from a worker's room: a filling
// one takes no processors of its own.
func (s *Step) Reservation() Size {
	room := s.Size
	if s.Backfill {
		room.CPU = 0
	}
	return room
}

// Submission is a job as its caller describes it.
type Submission struct {
	ID          ID            `cbor:"1,keyasint"`
	Queue       string        `cbor:"2,keyasint"`           // key of the queue it came on
	Spec        string        `cbor:"3,keyasint,omitempty"` // handed to each task as it is
	Steps       []Step        `cbor:"4,keyasint"`
	RepeatCount int           `cbor:"5,keyasint,omitempty"` // how many times the steps run, 0 for once and at once
	FirstDue    time.Time     `cbor:"6,keyasint,omitempty"` // when the first time is due
	Interval    time.Duration `cbor:"7,keyasint,omitempty"` // from one time to the next
	Customer    string        `cbor:"8,keyasint,omitempty"` // whose job it is, "" for nobody's
}

// AccessibleBy reports whether a call on behalf of a customer, "" for none, may see, cancel or hand in
// again the job. One that is nobody's is open to all who may call its queue.
func (s *Submission) AccessibleBy(by string) bool { return s.Customer == "" || s.Customer == by }

// Rounds returns how many times the steps run.
func (s *Submission) Rounds() int { return max(s.RepeatCount, 1) }

// DueAt returns when a time is due; a job without times is always due.
func (s *Submission) DueAt(round int) time.Time {
	if s.RepeatCount == 0 {
		return time.Time{}
	}
	return s.FirstDue.Add(time.Duration(round) * s.Interval)
}

// Features names what is special about the job's steps, for logs.
func (s *Submission) Features() string {
	var kinds []string
	note := func(has bool, kind string) {
		if has && !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	note(s.RepeatCount > 0, "times")
	for i := range s.Steps {
		o := &s.Steps[i]
		note(o.LongRunning, "lasting")
		note(o.Backfill, "filling")
		note(o.LatencyObjective > 0, "target")
		note(o.Gang, "gang")
		note(o.SameRack, "same-rack")
		note(o.Label != "", "label:"+o.Label)
		note(o.Rack != "", "data")
		note(o.MaxPerWorker > 0, "apart")
		note(o.AllowDuplicates, "copies")
		note(o.Checkpointing, "checkpoints")
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
