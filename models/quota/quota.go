// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"cmp"
	"maps"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// A limit applies to all pools together, and each pool has an owner of its own that begins runs. So
// each pool has an allowance of the limit. The sum of the allowances never exceeds the limit, and a
// pool begins what its allowance permits without consulting any other node.

// Allowances state what one pool may have running of each customer. The zero value allows nothing
// to a customer with a limit.
type Allowances struct {
	Epoch           uint64              `cbor:"1,keyasint" json:"epoch"`                  // of the holder that has set them
	Revision        uint64              `cbor:"2,keyasint" json:"number"`                 // increases with each change within the epoch
	Version         uint64              `cbor:"3,keyasint" json:"version"`                // of the configuration whose limits they observe
	DefaultFraction float64             `cbor:"4,keyasint" json:"part"`                   // fraction of the limit for customers that are not in ByCustomer
	ByCustomer      map[string]job.Size `cbor:"5,keyasint,omitempty" json:"of,omitempty"` // allowances by customer; a dimension without a limit is 0
}

// OlderThan reports whether the allowances were set before others.
func (a Allowances) OlderThan(o Allowances) bool {
	return cmp.Or(cmp.Compare(a.Epoch, o.Epoch), cmp.Compare(a.Revision, o.Revision)) < 0
}

// For returns the allowance of a customer with a limit.
func (a Allowances) For(customer string, limit job.Size) job.Size {
	if size, named := a.ByCustomer[customer]; named {
		return size
	}
	return limit.Scale(a.DefaultFraction)
}

// With returns a copy of the allowances with another one for a customer.
func (a Allowances) With(customer string, size job.Size) Allowances {
	of := make(map[string]job.Size, len(a.ByCustomer)+1)
	maps.Copy(of, a.ByCustomer)
	of[customer] = size
	a.ByCustomer = of
	return a
}

// Without returns a copy of the allowances in which a customer has the default fraction.
func (a Allowances) Without(customer string) Allowances {
	if _, named := a.ByCustomer[customer]; !named {
		return a
	}
	of := maps.Clone(a.ByCustomer)
	delete(of, customer)
	a.ByCustomer = of
	return a
}

// Account is what a pool reports of one customer with a limit.
type Account struct {
	Used     job.Size `json:"used"`  // running, being started, or being stopped
	Demand   job.Size `json:"wants"` // used, and what waits to begin
	MinStart job.Size `json:"least"` // of what waits, the least that can begin: a task, or a gang
	// WaitTime is how long something has waited for the allowance.
	WaitTime time.Duration `json:"waits,omitempty"`
	// Paused states that nothing of the customer begins until the pool receives allowances that
	// observe a lowered limit.
	Paused bool `json:"held,omitempty"`
}

// ReportFactor is the ratio of demand to allowance from which a pool reports a customer's account
// unasked: it is reported when the demand multiplied by the factor exceeds the allowance, so that
// more is lent before the allowance is used up.
const ReportFactor = 2

// Query requests the report of a pool from its owner, and may bring other allowances.
type Query struct {
	Epoch      uint64      `json:"epoch"`              // of the holder that sends it
	Allowances *Allowances `json:"allow,omitempty"`    // nil to keep the current ones
	Accounts   []string    `json:"accounts,omitempty"` // customers whose accounts are reported, whatever their demand
}

// Report is what a pool reports of its allowances.
type Report struct {
	OwnerEpoch    uint64     `json:"owner"`   // epoch of the pool's owner
	ConfigVersion uint64     `json:"config"`  // version that is in force there
	Allowances    Allowances `json:"allowed"` // the newest persisted ones; if the querying holder has set them, only their identification
	// Current are the allowances in force, nil if they are the persisted ones or were set by the
	// querying holder.
	Current  *Allowances        `json:"current,omitempty"`
	Accounts map[string]Account `json:"accounts,omitempty"` // of customers that were queried, that may not begin anything, or whose demand is near their allowance
}

// HasLimit reports whether any dimension has a limit.
func HasLimit(limit job.Size) bool { return limit != job.Size{} }

// MaskUnlimited returns a size with 0 in the dimensions without a limit.
func MaskUnlimited(size, limit job.Size) job.Size {
	if limit.CPU == 0 {
		size.CPU = 0
	}
	if limit.MemoryMB == 0 {
		size.MemoryMB = 0
	}
	if limit.Accelerators == 0 {
		size.Accelerators = 0
	}
	return size
}

// Within reports whether a size is within an allowance in the dimensions with a limit.
func Within(size, allowance, limit job.Size) bool {
	return (limit.CPU == 0 || size.CPU <= allowance.CPU) &&
		(limit.MemoryMB == 0 || size.MemoryMB <= allowance.MemoryMB) &&
		(limit.Accelerators == 0 || size.Accelerators <= allowance.Accelerators)
}

// IsLowered reports whether a limit is lower in some dimension than a previous one.
func IsLowered(before, now job.Size) bool {
	lower := func(before, now int) bool { return now > 0 && (before == 0 || now < before) }
	return lower(before.CPU, now.CPU) || lower(before.MemoryMB, now.MemoryMB) || lower(before.Accelerators, now.Accelerators)
}

// FairShare divides a limit among demands (max-min fairness): each gets its demand if that is
// possible; otherwise small demands are met and the others get equal shares. What remains is
// divided evenly. It works on one dimension of a size; the sum of the shares is at most the limit.
func FairShare(limit int, demands []int) []int {
	shares := make([]int, len(demands))
	if len(demands) == 0 {
		return shares
	}
	level := waterLevel(limit, demands)
	remaining := limit
	for i, demand := range demands {
		shares[i] = min(demand, level)
		remaining -= shares[i]
	}
	for i := range shares {
		shares[i] += remaining / len(shares)
	}
	return shares
}

// waterLevel returns the highest level such that the sum of the demands, each capped at the level,
// is at most the limit.
func waterLevel(limit int, demands []int) int {
	low, high := 0, max(limit, 0)
	for low < high {
		middle := low + (high-low+1)/2
		sum := 0
		for _, demand := range demands {
			sum += min(demand, middle)
		}
		if sum <= limit {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}
