// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/lending"
)

// withLimit returns a version of the configuration in which the customer "c" has a limit.
func withLimit(version uint64, cpu int) *config.Config {
	c := config.New(version, testConfig.Queues, testConfig.Pools, config.Limits{})
	return c.WithCustomers([]config.Customer{{Name: "c", Limit: job.Size{CPU: cpu}}})
}

// TestNextHolderKeepsALoweredAllowance guards against an allowance above a lowered limit (QUOTA).
// The role for instances changes after the pool has accepted the allowances for a lowered limit, and
// before it has persisted them: the next holder must not set the persisted ones again for the new
// limit.
func TestNextHolderKeepsALoweredAllowance(t *testing.T) {
	d := newTestPool(t, 1)
	d.Configure(withLimit(2, 12000))
	d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 1, Version: 2, ByCustomer: map[string]job.Size{"c": {CPU: 10000}}})
	d.persist()
	lowered := withLimit(3, 8000)
	d.Configure(lowered)
	d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 2, Version: 3, ByCustomer: map[string]job.Size{"c": {}}})

	next := lending.Lender{Epoch: 2, Logger: log.Nop()}
	for range 3 {
		next.ApplyReport("p", d.QuotaReport(next.Query("p"), d.now), d.now)
		_, err := next.Plan(lowered, d.now)
		assert.NilError(t, err)
		if q := next.Query("p"); q.Allowances != nil {
			d.SetAllowances(*q.Allowances)
		}
		allowed := d.allowances.current.For("c", job.Size{CPU: 8000})
		assert.Assert(t, d.paused("c") || allowed.CPU <= 8000, "the pool may use %d of 8000", allowed.CPU)
		d.persist()
	}
}
