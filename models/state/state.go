// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/table"
)

// State is all that the log says up to an offset; its zero value is the state
// before the first record.
type State struct {
	Offset          uint64    // of the next append to fold
	Now             time.Time // when the last folded append was taken, by the platform's clock
	Catalog         Catalog
	Entries         table.Table[Entry]    // the roster, by entry name
	Leases          table.Table[Lease]    // by role
	Instances       table.Table[Instance] // by worker
	OwnersChangedAt uint64                // offset of the newest change of a slots' owner
	ListRevision    uint64                // newest instance list that was folded
	Claims          table.Table[Claim]    // by key
	Runs            table.Table[Run]      // by job run
	LastDaily       table.Table[string]   // newest run of each daily job, by job
	Unreadable      uint64                // records that were passed over
	SnapshotAt      time.Time             // when the newest whole snapshot was put on the log
	SnapshotOffset  uint64                // offset of that snapshot

	index    index  // worked out from the tables above
	topology uint64 // offset of the newest change of instances, owners or roster
}

// Entry is one process of the roster.
type Entry struct {
	Incarnation uint64
	Sequence    uint64 // of its newest batch
	Address     string
	DataCenter  string `cbor:"Hall" json:"Hall"`
	JoinedAt    uint64 // offset
	Present     bool   // false once it has left or is gone
	Listed      bool   // the platform's list has shown it
	LeftAt      time.Time
	LostAt      time.Time // when a process of this name ended without leaving, zero for never
}

// Lease is the holder of a role.
type Lease struct {
	Holder      string
	Incarnation uint64
	Until       time.Time
}

// Phase is where an instance stands between service and reboot.
type Phase string

// The phases of an instance.
const (
	InService Phase = "in-service"
	Draining  Phase = "draining"
	Drained   Phase = "drained"
	Rebooting Phase = "rebooting"
)

// Instance is a worker's membership in its one pool.
type Instance struct {
	Worker              fleet.Worker
	Pool                string
	Phase               Phase
	PhaseAt             time.Time      // when the phase began, zero for before its first change
	Purpose             record.Purpose // of the drain, empty while in service
	MoveTo              string         `cbor:"To"` // pool that a move leads to, empty otherwise
	Version             uint64         // offset of the last change
	MaintainedAt        time.Time      // last reboot that was seen
	BootCountAtReboot   int            `cbor:"DrainBoot"` // boots before the reboot under way
	Rebooter            string         // entry that alone may ask for the reboot
	RebooterIncarnation uint64         `cbor:"RebooterInc"` // incarnation of the rebooter
	Owner               string         // entry that owns the slots, empty for none
	Epoch               uint64         // offset at which the owner began, 0 for never
	FirstOwner          bool           `cbor:"First"`      // the owner is the first one since the worker came into service
	EjectedUntil        time.Time      `cbor:"AsideUntil"` // no new jobs before
	GoneAt              time.Time      // when the platform's list dropped it, zero while listed
}

// Serving reports whether the instance may be given new work.
func (i Instance) Serving() bool {
	return i.Phase == InService && i.Worker.Condition == fleet.Live
}

// Claim is the reservation of a key.
type Claim struct {
	Entry       string
	Incarnation uint64
	Sum         []byte
	Offset      uint64
	Ended       bool
	Reply       *record.Reply // nil where the outcome is not known
}

// Run is one job that was submitted.
type Run struct {
	Job             manifest.Job
	SubmittedOffset uint64 `cbor:"Submitted"` // offset
	SubmittedAt     time.Time
	Deadline        time.Time // zero for none
	State           record.RunState
	Attempt         int
	Worker          string // of the newest attempt
	Starter         string // entry that alone may start it
	Incarnation     uint64 // of the starter
	Cores           int    // size it was placed by
	MemoryGB        int
	UsedCores       int // as learned, 0 for not known
	Reason          string
	EndedAt         time.Time
}

// Active reports whether the run holds room on a worker.
func (r Run) Active() bool {
	return r.State == record.Placed || r.State == record.Running
}

// Ended reports whether the run will not change any more by itself.
func (r Run) Ended() bool {
	switch r.State {
	case record.Done, record.Failed, record.Cancelled, record.Unknown:
		return true
	}
	return false
}

// MemberNames returns the names of the entries that are present, sorted.
func (s State) MemberNames() []string {
	var names []string
	for name, e := range s.Entries.All() {
		if e.Present {
			names = append(names, name)
		}
	}
	return names
}

// HoldsRole reports whether the entry's process holds the role at the fold's time.
func (s State) HoldsRole(role record.Role, entry string, incarnation uint64) bool {
	l, ok := s.Leases.Get(string(role))
	return ok && l.Holder == entry && l.Incarnation == incarnation && l.Until.After(s.Now)
}
