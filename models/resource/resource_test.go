// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resource

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNeedsOfAPool guards against a formula other than that of docs/CAPACITY.md, "What owning a pool takes":
// each line there is one here.
func TestNeedsOfAPool(t *testing.T) {
	large := Amount{Cores: 0.8, MemoryMB: 1048, Descriptors: 16384, LinkMbps: 1000}
	small := Amount{Cores: 0.192, MemoryMB: 184, Descriptors: 4100, LinkMbps: 20}
	for _, c := range []struct {
		workers, nodes       int
		descriptors          float64
		memoryMB, cores, kBs float64
		large, small         string // limits that are short, "" for none
	}{
		{350, 40, 2828, 63, 0.069, 1050, "", ""},
		{1200, 585, 5618, 148, 0.188, 1900, "", Descriptors},
		{3000, 1000, 10048, 328, 0.44, 3700, "", Descriptors},
		{6000, 2000, 18048, 628, 0.86, 6700, Descriptors, Cores},
	} {
		a := Needed(Roles{Count: 1, Workers: c.workers}, c.nodes)
		assert.Equal(t, a.Descriptors, c.descriptors)
		for _, is := range [][2]float64{{a.MemoryMB, c.memoryMB}, {a.Cores, c.cores}, {a.LinkMbps, c.kBs * 8 / 1000}} {
			assert.Assert(t, is[0] > is[1]-1e-6 && is[0] < is[1]+1e-6, "%d workers: %v", c.workers, is)
		}
		for _, n := range []struct {
			limits Amount
			short  string
		}{{large, c.large}, {small, c.small}} {
			share, of := a.Share(n.limits)
			assert.Equal(t, share > 1, n.short != "", "%d workers: %v of %s", c.workers, share, of)
			if share > 1 {
				assert.Equal(t, of, n.short, "%d workers: %v", c.workers, share)
			}
		}
	}
}

// TestUnknownLimitsAreEnough guards against nodes of an older version, which state no limits but cores and
// link, and would own nothing any more.
func TestUnknownLimitsAreEnough(t *testing.T) {
	huge := Roles{Count: 10, Workers: 100000, Instances: 100000}
	assert.Equal(t, Excess(huge, 1000, Amount{}), 1.0)
	assert.Assert(t, Excess(huge, 1000, Amount{Descriptors: 4100}) > 10)
}

// TestNodeWithoutARoleTakesNoOwnersPart guards against nodes that count as short without owning anything.
func TestNodeWithoutARoleTakesNoOwnersPart(t *testing.T) {
	a := Needed(Roles{}, 40)
	assert.Equal(t, a, Amount{Cores: baseCores, Descriptors: 2128})
}
