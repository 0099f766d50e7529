// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// Bounds of what is done for an answer that is on its way at the deadline.
const (
	// lateGrace is how much longer it may take. Once a process gets a processor
	// again, what has come is read within milliseconds; half a second is a
	// quarter of the shortest deadlines in use.
	lateGrace = 500 * time.Millisecond
	// lateNotice is how late a process notices a deadline that was held up; a
	// timer of a busy process is late by some milliseconds.
	lateNotice = 100 * time.Millisecond
)
