// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"cmp"
	"maps"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// A limit holds over all pools, and each pool has an owner of its own that begins runs. So
// each pool has an allowance of the limit. The sum of the allowances never is above it, and
// a pool begins what its allowance bears without asking anyone.

// Allowances are what one pool may have running of each customer's. The zero value allows
// nothing to a customer with a limit.
type Allowances struct {
	Epoch           uint64              `cbor:"1,keyasint" json:"epoch"`                  // of the holder that has set them
	Revision        uint64              `cbor:"2,keyasint" json:"number"`                 // rises with each change within the epoch
	Version         uint64              `cbor:"3,keyasint" json:"version"`                // of the configuration whose limits they keep
	DefaultFraction float64             `cbor:"4,keyasint" json:"part"`                   // of its limit that a customer has that is not named in Of
	ByCustomer      map[string]job.Size `cbor:"5,keyasint,omitempty" json:"of,omitempty"` // allowances by customer; what has no limit is 0
}

// OlderThan reports whether allowances were set before others.
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

// With returns allowances in which a customer has another one.
func (a Allowances) With(customer string, size job.Size) Allowances {
	of := make(map[string]job.Size, len(a.ByCustomer)+1)
	maps.Copy(of, a.ByCustomer)
	of[customer] = size
	a.ByCustomer = of
	return a
}

// Without returns allowances in which a customer has the part that all have.
func (a Allowances) Without(customer string) Allowances {
	if _, named := a.ByCustomer[customer]; !named {
		return a
	}
	of := maps.Clone(a.ByCustomer)
	delete(of, customer)
	a.ByCustomer = of
	return a
}

// Account is what a pool tells of one customer that has a limit.
type Account struct {
	Used     job.Size `json:"used"`  // running, on its way, or being stopped
	Demand   job.Size `json:"wants"` // the same, and what waits to begin
	MinStart job.Size `json:"least"` // of what waits, the least that can begin: a task, or a gang
	// WaitTime is for how long something has waited for the allowance.
	WaitTime time.Duration `json:"waits,omitempty"`
	// Paused says that nothing of it begins until the pool is told allowances that keep a
	// limit which has been lowered.
	Paused bool `json:"held,omitempty"`
}

// ReportFactor is how many times what it wants must be more than its allowance for a customer's account
// to be told: more is lent before the allowance is used up.
const ReportFactor = 2

// Query asks the owner of a pool for its statement, and may bring other allowances.
type Query struct {
	Epoch      uint64      `json:"epoch"`              // of the holder that asks
	Allowances *Allowances `json:"allow,omitempty"`    // nil for those that it has
	Accounts   []string    `json:"accounts,omitempty"` // customers whose accounts are told, whatever they want
}

// Report is what a pool tells of its allowances.
type Report struct {
	OwnerEpoch    uint64             `json:"owner"`              // epoch of the pool's owner
	ConfigVersion uint64             `json:"config"`             // version that is in force there
	Allowances    Allowances         `json:"allowed"`            // the newest that are kept; of those that the asking holder has set only which
	Accounts      map[string]Account `json:"accounts,omitempty"` // of customers that are asked for, that may not begin anything, or that want much of what they have
}

// HasLimit reports whether a limit has a part that is one.
func HasLimit(limit job.Size) bool { return limit != job.Size{} }

// MaskUnlimited returns a size with 0 in the parts in which there is no limit.
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

// Within reports whether a size stays within an allowance in the parts in which there is a
// limit.
func Within(size, allowance, limit job.Size) bool {
	return (limit.CPU == 0 || size.CPU <= allowance.CPU) &&
		(limit.MemoryMB == 0 || size.MemoryMB <= allowance.MemoryMB) &&
		(limit.Accelerators == 0 || size.Accelerators <= allowance.Accelerators)
}

// IsLowered reports whether a limit is lower in a part than an earlier one.
func IsLowered(before, now job.Size) bool {
	lower := func(before, now int) bool { return now > 0 && (before == 0 || now < before) }
	return lower(before.CPU, now.CPU) || lower(before.MemoryMB, now.MemoryMB) || lower(before.Accelerators, now.Accelerators)
}

// FairShare shares a limit out by wants: each gets what it wants where that is possible, else
// those that want little do and the others the same; what is left over is shared evenly.
// It works on one part of a size; the sum of what is returned is at most the limit.
func FairShare(limit int, wants []int) []int {
	shares := make([]int, len(wants))
	if len(wants) == 0 {
		return shares
	}
	level := waterLevel(limit, wants)
	left := limit
	for i, want := range wants {
		shares[i] = min(want, level)
		left -= shares[i]
	}
	for i := range shares {
		shares[i] += left / len(shares)
	}
	return shares
}

// waterLevel returns the highest level such that wants cut off there sum up to a limit at most.
func waterLevel(limit int, wants []int) int {
	low, high := 0, max(limit, 0)
	for low < high {
		middle := low + (high-low+1)/2
		sum := 0
		for _, want := range wants {
			sum += min(want, middle)
		}
		if sum <= limit {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}
