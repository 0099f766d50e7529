// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

// Holding is the number of slots of a target that an entry holds.
type Holding struct {
	Worker string `json:"w"`
	Epoch  uint64 `json:"e"` // of the ownership
	Count  int    `json:"n"`
}

// SlotRequest requests slots of any target of a pool.
type SlotRequest struct {
	Pool  string `json:"p"`
	Count int    `json:"n"`
	Avoid string `json:"a,omitempty"` // worker whose slots are lent last, empty for none
}

// PoolHolding is the number of slots of a pool that an entry holds from all owners.
type PoolHolding struct {
	Pool  string `json:"p"`
	Count int    `json:"n"`
}

// Exchange is the message of a holder to an owner: the slots that it holds, as absolute counts, and
// those that it requests. A session has one exchange in flight at a time.
type Exchange struct {
	Entry        string        `json:"entry"`
	Incarnation  uint64        `json:"inc"`
	Session      uint64        `json:"session"` // increased whenever a response was lost
	Offset       uint64        `json:"offset"`  // of the newest change of ownership that the holder knows
	Full         bool          `json:"full"`    // the holder has no slots of targets that are not listed
	Held         []Holding     `json:"held,omitempty"`
	Requests     []SlotRequest `json:"wants,omitempty"`
	PoolHoldings []PoolHolding `json:"haves,omitempty"`
}

// ExchangeResponse is the response to an exchange, with the slots that were lent in addition.
type ExchangeResponse struct {
	Grants []Holding `json:"grants,omitempty"`
	Stale  bool      `json:"stale,omitempty"`  // a newer session is known; nothing was done
	Behind bool      `json:"behind,omitempty"` // the owner knows less of the log; nothing was done
}

// Notification asks a holder for an exchange: to borrow slots that have become free, or to return
// slots that another entry needs more.
type Notification struct {
	Owner string `json:"owner"`
	Pool  string `json:"pool"`
	// Recall is the number of slots to return, 0 if slots have become free.
	Recall int `json:"recall,omitempty"`
	// LeastHeld is the number of slots that the entry with the refused request holds. A holder
	// returns slots in use only while it holds at least two more.
	LeastHeld int `json:"fair,omitempty"`
}
