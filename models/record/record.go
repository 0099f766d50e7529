// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package record

import (
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
)

// Record is one proposal; exactly one of its fields is not nil. A record type of a newer release
// sets none of the fields that this release knows.
type Record struct {
	Join       *Join       `cbor:"1,keyasint,omitempty"`
	Leave      *Leave      `cbor:"2,keyasint,omitempty"`
	Gone       *Gone       `cbor:"3,keyasint,omitempty"`
	Lease      *Lease      `cbor:"4,keyasint,omitempty"`
	Apply      *Apply      `cbor:"5,keyasint,omitempty"`
	ListUpdate *ListUpdate `cbor:"6,keyasint,omitempty" json:"Sighting"`
	Move       *Move       `cbor:"7,keyasint,omitempty"`
	Drain      *Drain      `cbor:"8,keyasint,omitempty"`
	Drained    *Drained    `cbor:"9,keyasint,omitempty"`
	Reboot     *Reboot     `cbor:"10,keyasint,omitempty"`
	Return     *Return     `cbor:"11,keyasint,omitempty"`
	Handoff    *Handoff    `cbor:"12,keyasint,omitempty"`
	Claim      *Claim      `cbor:"13,keyasint,omitempty"`
	Result     *Result     `cbor:"14,keyasint,omitempty"`
	Submit     *Submit     `cbor:"15,keyasint,omitempty"`
	Cancel     *Cancel     `cbor:"16,keyasint,omitempty"`
	Place      *Place      `cbor:"17,keyasint,omitempty"`
	Progress   *Progress   `cbor:"18,keyasint,omitempty"`
	Eject      *Eject      `cbor:"19,keyasint,omitempty" json:"SetAside"`
	Snapshot   *Snapshot   `cbor:"20,keyasint,omitempty"`
}

// Join adds the writer's process to the membership of entries.
type Join struct {
	Address    string `cbor:"1,keyasint"` // IP and port for peers
	DataCenter string `cbor:"2,keyasint" json:"Hall"`
}

// Leave removes the writer from the membership after it has finished its work.
type Leave struct{}

// Gone removes a process from the membership that the platform no longer lists.
type Gone struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Role is a responsibility that one entry at a time has, to avoid duplicate work.
type Role string

// The roles that are leased.
const (
	RolePools     Role = "pools"
	RoleJobs      Role = "jobs"
	RoleSnapshots Role = "snapshots"
)

// Roles returns every leased role.
func Roles() []Role { return []Role{RolePools, RoleJobs, RoleSnapshots} }

// Lease acquires or renews a role for the writer.
type Lease struct {
	Role Role          `cbor:"1,keyasint"`
	TTL  time.Duration `cbor:"2,keyasint" json:"Life"`
}

// Apply replaces whole declarative objects.
type Apply struct {
	Deployment string            `cbor:"1,keyasint"`
	Base       uint64            `cbor:"2,keyasint"` // version that it was written against
	Put        []manifest.Object `cbor:"3,keyasint,omitempty"`
	Delete     []manifest.Ref    `cbor:"4,keyasint,omitempty"`
	Operator   string            `cbor:"5,keyasint,omitempty"`
}

// ListUpdate reports changes of the platform's instance list.
type ListUpdate struct {
	Revision uint64         `cbor:"1,keyasint"`           // of the list, never decreases
	Workers  []fleet.Worker `cbor:"2,keyasint,omitempty"` // that changed
	Entries  []string       `cbor:"3,keyasint,omitempty"` // of the membership, listed for the first time
}

// Move puts an idle worker into another pool.
type Move struct {
	Worker  string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	To      string `cbor:"3,keyasint"`
}

// Purpose is the reason why a worker is drained.
type Purpose string

// The purposes of a drain.
const (
	ForMaintenance Purpose = "maintenance"
	ForMove        Purpose = "move"
)

// Drain takes a worker out of service so that it can be rebooted or moved.
type Drain struct {
	Worker  string  `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"`
	Purpose Purpose `cbor:"3,keyasint"`
	To      string  `cbor:"4,keyasint,omitempty"` // the new pool of a move
}

// Drained states that no entry has a request in flight on the worker; only the owner of its slots
// can know.
type Drained struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"` // of the ownership
}

// Reboot is the intent to reboot a drained worker.
type Reboot struct {
	Worker  string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Return puts a rebooted worker back into service.
type Return struct {
	Worker  string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Handoff passes on the ownership of a worker's slots.
type Handoff struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	To     string `cbor:"3,keyasint"`
}

// Claim reserves a key for one dispatch by the writer.
type Claim struct {
	Key string `cbor:"1,keyasint"`
	Sum []byte `cbor:"2,keyasint"` // of the request, so that a key is not reused for another
}

// Result records how a claimed request ended.
type Result struct {
	Key    string `cbor:"1,keyasint"`
	NotRun bool   `cbor:"2,keyasint,omitempty"` // frees the key: no byte was sent
	Reply  *Reply `cbor:"3,keyasint,omitempty"` // nil if the outcome is unknown
	Claim  uint64 `cbor:"4,keyasint"`           // offset of the claim that ends
}

// Reply is the response that is kept for a repetition of a claimed request.
type Reply struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Omitted     bool   `cbor:"4,keyasint,omitempty"` // the body was too large to keep
}

// Submit requests one run of a job.
type Submit struct {
	ID       string       `cbor:"1,keyasint"` // a once-key, or name@date for declared jobs
	Job      manifest.Job `cbor:"2,keyasint"`
	Deadline time.Time    `cbor:"3,keyasint,omitempty"`
}

// Cancel ends jobs; those that have not started never start.
type Cancel struct {
	IDs []string `cbor:"1,keyasint"`
}

// Place assigns a pending job to a worker; the writer alone may start it.
type Place struct {
	ID       string `cbor:"1,keyasint"`
	Attempt  int    `cbor:"2,keyasint"` // one more than the previous one
	Worker   string `cbor:"3,keyasint"`
	Cores    int    `cbor:"4,keyasint"` // reserved size
	MemoryGB int    `cbor:"5,keyasint"`
}

// RunState is the state of a job run.
type RunState string

// The states of a job.
const (
	Pending   RunState = "pending"
	Placed    RunState = "placed"
	Running   RunState = "running"
	Done      RunState = "done"
	Failed    RunState = "failed"
	Cancelled RunState = "cancelled"
	Unknown   RunState = "unknown" // may have run, is never repeated automatically
)

// Progress reports the state of a placed job.
type Progress struct {
	ID      string   `cbor:"1,keyasint"`
	Attempt int      `cbor:"2,keyasint"`
	State   RunState `cbor:"3,keyasint"`
	Reason  string   `cbor:"4,keyasint,omitempty"`
	Cores   int      `cbor:"5,keyasint,omitempty"` // used, 0 if not known
	NotRun  bool     `cbor:"6,keyasint,omitempty"` // the attempt is confirmed not to have begun
}

// Eject keeps new jobs away from a worker that fails them, until a time.
type Eject struct {
	Worker string    `cbor:"1,keyasint"`
	Until  time.Time `cbor:"2,keyasint"`
}

// Snapshot is one chunk of a snapshot of the folded state.
type Snapshot struct {
	Offset uint64 `cbor:"1,keyasint"` // the first offset that is not included
	Index  int    `cbor:"2,keyasint"`
	Count  int    `cbor:"3,keyasint"`
	Sum    []byte `cbor:"4,keyasint"` // SHA-256 of the complete snapshot
	Data   []byte `cbor:"5,keyasint"`
}
