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

// State is the result of folding the log up to an offset; its zero value is the state before the
// first record.
type State struct {
	Offset          uint64    // of the next append to fold
	Now             time.Time // when the last folded append was accepted, by the platform's clock
	Catalog         Catalog
	Entries         table.Table[Entry]    // the membership, by entry name
	Leases          table.Table[Lease]    // by role
	Instances       table.Table[Instance] // by worker
	OwnersChangedAt uint64                // offset after the newest change of the owner of slots
	ListRevision    uint64                // newest instance list that was folded
	Claims          table.Table[Claim]    // by key
	Runs            table.Table[Run]      // by job run
	LastDaily       table.Table[string]   // newest run of each daily job, by job
	Unreadable      uint64                // records that were skipped
	SnapshotAt      time.Time             // when the newest complete snapshot was written to the log
	SnapshotOffset  uint64                // offset of that snapshot

	index    index  // derived from the tables above
	topology uint64 // offset after the newest change of instances, owners or membership
}

// Entry is one process of the membership.
type Entry struct {
	Incarnation uint64
	Sequence    uint64 // of its newest batch
	Address     string
	DataCenter  string `cbor:"Hall" json:"Hall"`
	JoinedAt    uint64 // offset after its Join record
	Present     bool   // false once it has left or is gone
	Listed      bool   // it has been in the platform's list
	LeftAt      time.Time
	LostAt      time.Time // when a process of this name last ended without leaving, zero for never
}

// Lease is the holder of a role.
type Lease struct {
	Holder      string
	Incarnation uint64
	Until       time.Time
}

// Phase is the phase of an instance between service and reboot.
type Phase string

// The phases of an instance.
const (
	InService Phase = "in-service"
	Draining  Phase = "draining"
	Drained   Phase = "drained"
	Rebooting Phase = "rebooting"
)

// Instance is a worker as a member of its only pool.
type Instance struct {
	Worker              fleet.Worker
	Pool                string
	Phase               Phase
	PhaseAt             time.Time      // when the phase began, zero before its first change
	Purpose             record.Purpose // of the drain, empty while in service
	MoveTo              string         `cbor:"To"` // destination pool of a move, empty otherwise
	Version             uint64         // offset after the last change
	MaintainedAt        time.Time      // last observed reboot
	BootCountAtReboot   int            `cbor:"DrainBoot"` // boot count before the current reboot
	Rebooter            string         // the only entry that may request the reboot
	RebooterIncarnation uint64         `cbor:"RebooterInc"` // incarnation of the rebooter
	Owner               string         // entry that owns the slots, empty for none
	Epoch               uint64         // offset after the change to this owner, 0 for never
	FirstOwner          bool           `cbor:"First"`      // the owner is the first one since the worker came into service
	EjectedUntil        time.Time      `cbor:"AsideUntil"` // no new jobs until then
	GoneAt              time.Time      // when the worker disappeared from the platform's list, zero while listed
}

// Serving reports whether the instance may receive new work.
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
	Reply       *record.Reply // nil if the outcome is not known
}

// Run is one submitted run of a job.
type Run struct {
	Job             manifest.Job
	SubmittedOffset uint64 `cbor:"Submitted"` // offset after its submission
	SubmittedAt     time.Time
	Deadline        time.Time // zero for none
	State           record.RunState
	Attempt         int
	Worker          string // of the newest attempt
	Starter         string // the only entry that may start it
	Incarnation     uint64 // of the starter
	Cores           int    // reserved size
	MemoryGB        int
	UsedCores       int // observed, 0 if not known
	Reason          string
	EndedAt         time.Time
}

// Active reports whether the run uses capacity of a worker.
func (r Run) Active() bool {
	return r.State == record.Placed || r.State == record.Running
}

// Ended reports whether the run is in a final state.
func (r Run) Ended() bool {
	switch r.State {
	case record.Done, record.Failed, record.Cancelled, record.Unknown:
		return true
	}
	return false
}

// MemberNames returns the names of the present entries, sorted.
func (s State) MemberNames() []string {
	var names []string
	for name, e := range s.Entries.All() {
		if e.Present {
			names = append(names, name)
		}
	}
	return names
}

// HoldsRole reports whether the entry's process holds the role at the time of the state.
func (s State) HoldsRole(role record.Role, entry string, incarnation uint64) bool {
	l, ok := s.Leases.Get(string(role))
	return ok && l.Holder == entry && l.Incarnation == incarnation && l.Until.After(s.Now)
}
