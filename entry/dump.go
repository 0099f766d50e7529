// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"runtime"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/services/jobs"
	"github.com/yardbridge/yardbridge/services/members"
	"github.com/yardbridge/yardbridge/services/pools"
	"github.com/yardbridge/yardbridge/services/slots"
)

// Dump is the state of the process, without secrets.
type Dump struct {
	Settings    setting.Settings                  `json:"setting"`
	Offset      uint64                            `json:"offset"`
	LogTime     time.Time                         `json:"log_time"`
	Contact     time.Time                         `json:"contact"`
	Version     uint64                            `json:"version"`
	Entries     map[string]state.Entry            `json:"entries"`
	Leases      map[string]state.Lease            `json:"leases"`
	Members     []members.Member                  `json:"members"`
	Lent        []slots.Account                   `json:"lent"`
	Held        []slots.Target                    `json:"held"`
	Waiting     map[string]int                    `json:"waiting"`
	Ejected     map[string]time.Time              `json:"targets_aside"`
	LogBacklog  int                               `json:"log_backlog"`
	Claims      int                               `json:"claims"`
	Runs        int                               `json:"runs"`
	WaitingRuns map[string]map[string]jobs.Reason `json:"runs_waiting"`
	Plan        pools.Plan                        `json:"plan"`
	Unreadable  uint64                            `json:"unreadable_records"`
	Goroutines  int                               `json:"goroutines"`
	HeapBytes   uint64                            `json:"heap_bytes"`
}

// Dump returns the state of the process.
func (e *Entry) Dump() Dump {
	s := e.Ledger.State()
	held, waiting := e.Holder.Dump()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Dump{
		Settings:    e.CurrentSettings(),
		Offset:      s.Offset,
		LogTime:     s.Now,
		Contact:     e.Ledger.LastContact(),
		Version:     s.Catalog.Version,
		Entries:     s.Entries.Map(),
		Leases:      s.Leases.Map(),
		Members:     e.Members.Dump(),
		Lent:        e.Lender.Dump(),
		Held:        held,
		Waiting:     waiting,
		Ejected:     e.Outliers.Ejected(),
		LogBacklog:  e.Ledger.Backlog(),
		Claims:      s.Claims.Len(),
		Runs:        s.Runs.Len(),
		WaitingRuns: e.Jobs.Waiting(),
		Plan:        e.Pools.LatestPlan(),
		Unreadable:  s.Unreadable,
		Goroutines:  runtime.NumGoroutine(),
		HeapBytes:   memory.HeapAlloc,
	}
}
