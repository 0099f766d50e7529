// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import "time"

// lease is how long what runs on a worker outlives the last message of its owner: long enough for
// another node to take the pool over, and short enough for the runs of a lost worker to begin
// elsewhere.
const lease = 4 * time.Second

// The intervals between readings of the store.
const (
	operatorsWait = 700 * time.Millisecond // how long a reading waits for new records; see the directory's
	workersGap    = 250 * time.Millisecond // workers write every 1.5 s; what they write is read together
)
