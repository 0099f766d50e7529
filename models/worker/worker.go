// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// ID names a worker of an instance. A move to another pool ends it; after a crash the next
// one may have the same name, and only its start tells them apart.
type ID string

// Worker is what a worker says of itself in the platform's list.
type Worker struct {
	ID         ID
	Instance   string // the instance that it runs on
	Pool       string
	Address    string // IP and port
	DataCenter string
	Labels     []string // its kind and its rack
	Capacity   job.Size
	Draining   bool
	Remaining  time.Duration // at least until it leaves, while it drains
	WarmUp     time.Duration `cbor:"Cold"` // during which it is still slow from its start
	StartedAt  int64         `cbor:"Born"` // when it has started, in milliseconds since 1970 by its machine's time of day; 0 where the platform does not tell
	Revision   uint64        // of the list's record that said so
}

// HasLabel reports whether the worker carries a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Rack returns the label of the worker's rack, which is its last one.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}
