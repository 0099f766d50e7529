// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import "time"

// lease is how long what runs on a worker outlives its owner's last word: long
// enough for another node to take the pool over, and short enough for what a
// lost worker ran to begin elsewhere.
const lease = 4 * time.Second

// The pace of readings of the store.
const (
	operatorsWait = 700 * time.Millisecond // a reading waits for news so long; see the directory's
	workersGap    = 250 * time.Millisecond // workers write every 1.5 s; what they write is read together
)
