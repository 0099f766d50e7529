// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

// Condition is what the platform's instance list says of a worker.
type Condition string

// The conditions of a worker on the platform's list.
const (
	Live    Condition = "live"
	Leaving Condition = "leaving"
	Gone    Condition = "gone"
)

// Worker is one machine of the platform as its instance list shows it.
type Worker struct {
	ID           string    `json:"id"`
	Address      string    `json:"address"` // IP and port of its target
	DataCenter   string    `json:"hall"`
	Rack         string    `json:"rack"`
	Kind         string    `json:"kind,omitempty"`
	Cores        int       `json:"cores"`
	MemoryGB     int       `json:"memory_gb"`
	Accelerators int       `json:"accelerators,omitempty"`
	Slots        int       `json:"slots"`          // requests at once
	Connections  int       `json:"connections"`    // connections at once
	BootCount    int       `json:"boot,omitempty"` // grows with each reboot
	Condition    Condition `json:"condition"`
}

// Equal reports whether two sightings of a worker tell the same.
func (w Worker) Equal(o Worker) bool { return w == o }

// WithCondition returns the worker in another condition.
func (w Worker) WithCondition(c Condition) Worker {
	w.Condition = c
	return w
}
