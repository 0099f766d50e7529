// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import "time"

// lease is how long the runs on a worker continue after the last message of the pool's owner: long
// enough for another node to take the pool over, and short enough for the tasks of a lost worker to
// begin again elsewhere.
const lease = 4 * time.Second

// The timing of reads of the store.
const (
	operatorsWait = 700 * time.Millisecond // how long a read waits for new records at least; see followWait in services/directory
	workersGap    = 250 * time.Millisecond // pause between reads; workers write every 1.5 s, and the records of one pause are read together
)
