// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Log is the platform's append-only log service.
type Log struct {
	// Append appends data and returns its offset. After an error the append may still have taken
	// effect, unless the error is errkind.Overloaded, which means that it was refused.
	Append func(ctx context.Context, data []byte) (uint64, error)
	// Read returns the records from an offset on, and waits up to the given time for the first one.
	Read func(ctx context.Context, from uint64, wait time.Duration) (Page, error)
}

// Page is a sequence of consecutive records of the log.
type Page struct {
	First   uint64 // oldest retained offset
	Next    uint64 // offset of the next append
	Records []record.Stored
}

// Fleet is the platform's control of its instances.
type Fleet struct {
	// List returns the live and leaving instances, or only the revision if the list is no newer
	// than a known one. The list lags behind.
	List func(ctx context.Context, known uint64) (Listing, error)
	// Reboot reboots a worker; each call causes a reboot.
	Reboot func(ctx context.Context, worker string) error
}

// Listing is one reading of the instance list.
type Listing struct {
	Revision uint64         `json:"revision"` // never decreases
	Workers  []fleet.Worker `json:"workers"`
	Entries  []string       `json:"entries"` // names of the listed entries, which are instances of this system
}

// Tasks is the platform's control of the tasks on its workers.
type Tasks struct {
	// Start starts a task under a lease. After an error the task may have started.
	Start func(ctx context.Context, t Task) error
	// Renew renews the leases of tasks on a worker.
	Renew func(ctx context.Context, worker string, ids []string, ttl time.Duration) error
	// Stop stops a task, after a checkpoint if requested.
	Stop func(ctx context.Context, worker, id string, checkpoint bool) error
	// Throttle limits the cores of a task.
	Throttle func(ctx context.Context, worker, id string, cores int) error
	// Reports returns the tasks whose reports have changed since a known revision, or for 0 all
	// tasks that run or have run recently. The reports lag behind.
	Reports func(ctx context.Context, known uint64) (Reports, error)
}

// Task is one attempt of a job on a worker.
type Task struct {
	ID       string        `json:"id"` // job run and attempt
	Worker   string        `json:"worker"`
	Command  string        `json:"command"`
	Cores    int           `json:"cores"`
	MemoryGB int           `json:"memory_gb"`
	LeaseTTL time.Duration `json:"life"` // duration of the lease
}

// TaskState is the state of a task that a worker reports.
type TaskState string

// States of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped" // on request, or because its lease expired
)

// Reports is one reading of the workers' reports.
type Reports struct {
	Revision uint64       `json:"revision"` // never decreases
	Complete bool         `json:"whole"`    // tasks that are not listed are no longer reported
	Tasks    []TaskStatus `json:"tasks,omitempty"`
}

// TaskStatus is one row of the workers' reports.
type TaskStatus struct {
	ID     string    `json:"id"`
	Worker string    `json:"worker"`
	State  TaskState `json:"state"`
	Cores  int       `json:"cores"` // cores in use; the report lags behind
}

// Refused reports whether an error of the platform means that the action has not begun and will not
// begin.
func Refused(err error) bool {
	return errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.Overloaded)
}
