// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package slots limits the requests in flight on each target to its slots, across all entries and
// without a central counter.
//
// One entry owns the slots of a target and lends them to the others and to itself. A lent slot does
// not expire: it is returned, or the platform confirms that the process which held it is gone.
// Safety therefore depends on no clock, and an entry that was suspended for any length of time
// still holds its slots.
//
// Lock order: Holder.mu and Lender.mu are never held together, and neither is held during a call to
// a peer.
package slots
