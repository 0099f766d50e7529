// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

// Holding says how many slots of a target an entry holds.
type Holding struct {
	Worker string `json:"w"`
	Epoch  uint64 `json:"e"` // of the ownership
	Count  int    `json:"n"`
}

// SlotRequest asks for slots of any target of a pool.
type SlotRequest struct {
	Pool  string `json:"p"`
	Count int    `json:"n"`
	Avoid string `json:"a,omitempty"` // worker that is lent last, empty for none
}

// PoolHolding says how many slots of a pool an entry holds from all owners.
type PoolHolding struct {
	Pool  string `json:"p"`
	Count int    `json:"n"`
}

// Exchange is what a holder sends to an owner: what it holds, as absolute
// counts, and what it wants. One exchange at a time is under way on a session.
type Exchange struct {
	Entry        string        `json:"entry"`
	Incarnation  uint64        `json:"inc"`
	Session      uint64        `json:"session"` // grows whenever an answer was missed
	Offset       uint64        `json:"offset"`  // of the newest change of ownership that the holder knows
	Full         bool          `json:"full"`    // targets that are not listed are not held
	Held         []Holding     `json:"held,omitempty"`
	Requests     []SlotRequest `json:"wants,omitempty"`
	PoolHoldings []PoolHolding `json:"haves,omitempty"`
}

// ExchangeResponse answers an exchange with the slots that were lent on top.
type ExchangeResponse struct {
	Grants []Holding `json:"grants,omitempty"`
	Stale  bool      `json:"stale,omitempty"`  // a newer session is known; nothing was done
	Behind bool      `json:"behind,omitempty"` // the owner knows less of the log; nothing was done
}

// Notification asks a holder to come back: to borrow what has become free, or to give
// back what another entry needs more.
type Notification struct {
	Owner string `json:"owner"`
	Pool  string `json:"pool"`
	// Recall is how many slots are asked back, 0 where slots have become free.
	Recall int `json:"recall,omitempty"`
	// LeastHeld is what the neediest entry holds; a holder gives up slots in use
	// only while it holds clearly more.
	LeastHeld int `json:"fair,omitempty"`
}
