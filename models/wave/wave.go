// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wave

import "time"

// Wave requests that each of its instances is maintained once within a time limit.
type Wave struct {
	Number        int
	Instances     []string
	TimeLimit     time.Duration `cbor:"Within"` // from the time of the request
	MaxConcurrent int           `cbor:"AtOnce"` // instances that may be down for it at a time, 0 for no limit
}
