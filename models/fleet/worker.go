// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

// Condition is the state of a worker in the platform's instance list.
type Condition string

// The conditions of a worker on the platform's list.
const (
	Live    Condition = "live"
	Leaving Condition = "leaving"
	Gone    Condition = "gone"
)

// Worker is one machine of the platform as listed in its instance list.
type Worker struct {
	ID           string    `json:"id"`
	Address      string    `json:"address"` // IP and port of its target
	DataCenter   string    `json:"hall"`
	Rack         string    `json:"rack"`
	Kind         string    `json:"kind,omitempty"`
	Cores        int       `json:"cores"`
	MemoryGB     int       `json:"memory_gb"`
	Accelerators int       `json:"accelerators,omitempty"`
	Slots        int       `json:"slots"`          // concurrent requests
	Connections  int       `json:"connections"`    // concurrent connections
	BootCount    int       `json:"boot,omitempty"` // increases with each reboot
	Condition    Condition `json:"condition"`
}

// Equal reports whether two entries of a worker are the same.
func (w Worker) Equal(o Worker) bool { return w == o }

// WithCondition returns a copy of the worker in another condition.
func (w Worker) WithCondition(c Condition) Worker {
	w.Condition = c
	return w
}
