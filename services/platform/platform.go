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
	// Append adds data and returns its offset. After an error the append may
	// still have taken effect, unless errkind.Overloaded says that it was
	// refused.
	Append func(ctx context.Context, data []byte) (uint64, error)
	// Read returns what stands at the offset and after it, and waits up to the
	// given time for a first record.
	Read func(ctx context.Context, from uint64, wait time.Duration) (Page, error)
}

// Page is a run of records from the log.
type Page struct {
	First   uint64 // oldest offset that is kept
	Next    uint64 // offset of the next append
	Records []record.Stored
}

// Fleet is the platform's control of its instances.
type Fleet struct {
	// List returns the live and leaving instances, or only the revision where
	// the list is no newer than a known one; it lags.
	List func(ctx context.Context, known uint64) (Listing, error)
	// Reboot restarts a worker; doing so twice reboots twice.
	Reboot func(ctx context.Context, worker string) error
}

// Listing is one reading of the instance list.
type Listing struct {
	Revision uint64         `json:"revision"` // never goes back
	Workers  []fleet.Worker `json:"workers"`
	Entries  []string       `json:"entries"` // names of the system's own instances
}

// Tasks is the platform's control of what its workers run.
type Tasks struct {
	// Start begins a task under a lease. After an error it may have begun.
	Start func(ctx context.Context, t Task) error
	// Renew keeps the leases of tasks on a worker alive.
	Renew func(ctx context.Context, worker string, ids []string, life time.Duration) error
	// Stop ends a task, after a checkpoint if asked for.
	Stop func(ctx context.Context, worker, id string, checkpoint bool) error
	// Throttle bounds the processors of a task.
	Throttle func(ctx context.Context, worker, id string, cores int) error
	// Reports returns what has changed of what the workers run since a known
	// revision, or all that they run and have run lately for 0; it lags.
	Reports func(ctx context.Context, known uint64) (Reports, error)
}

// Task is one attempt of a job on a worker.
type Task struct {
	ID       string        `json:"id"` // job run and attempt
	Worker   string        `json:"worker"`
	Command  string        `json:"command"`
	Cores    int           `json:"cores"`
	MemoryGB int           `json:"memory_gb"`
	LeaseTTL time.Duration `json:"life"` // of the lease
}

// TaskState is what a worker says of a task.
type TaskState string

// The states of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped" // told to, or its lease lapsed
)

// Reports is one reading of the workers' reports.
type Reports struct {
	Revision uint64       `json:"revision"` // never goes back
	Complete bool         `json:"whole"`    // tasks that are not in it are no longer reported
	Tasks    []TaskStatus `json:"tasks,omitempty"`
}

// TaskStatus is one row of the workers' reports.
type TaskStatus struct {
	ID     string    `json:"id"`
	Worker string    `json:"worker"`
	State  TaskState `json:"state"`
	Cores  int       `json:"cores"` // used, as reported with a lag
}

// Refused reports whether an error of the platform says that the action has
// not begun and will not.
func Refused(err error) bool {
	return errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.Overloaded)
}
