// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wave

import "time"

// Wave asks that each of its instances is maintained once, within a time.
type Wave struct {
	Number        int
	Instances     []string
	TimeLimit     time.Duration `cbor:"Within"` // from when it was asked for
	MaxConcurrent int           `cbor:"AtOnce"` // instances that may be down for it at once, 0 for no limit
}
