// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// ID identifies a worker of an instance. A move to another pool ends the worker; after a crash the
// next one may have the same id, and only its start time distinguishes them.
type ID string

// Worker is the entry of a worker in the platform's list, as the worker reports it.
type Worker struct {
	ID         ID
	Instance   string // the instance that it runs on
	Pool       string
	Address    string // IP and port
	DataCenter string
	Labels     []string // its kind and its rack
	Capacity   job.Size
	Draining   bool
	Remaining  time.Duration // minimum time until it leaves, while it drains
	WarmUp     time.Duration `cbor:"Cold"` // during which it is still slow after its start
	ColdSince  time.Time     `cbor:"-"`    // by this node's clock, when it was first read that it is cold
	WarmAt     time.Time     `cbor:"-"`    // by this node's clock, when it will be or became warm; zero if it has not been cold
	StartedAt  int64         `cbor:"Born"` // start time, in milliseconds since 1970 by its machine's clock; 0 if the platform does not report it
	Revision   uint64        // offset of the entry in the list
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Rack returns the label of the worker's rack, which is the last label.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}
