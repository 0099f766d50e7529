// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lending

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
)

// shapedPool simulates a pool's owner whose waiting tasks differ in shape. It starts them in order, as
// far as its allowance permits, and each runs for runSteps.
type shapedPool struct {
	set     quota.Allowances
	waiting []job.Size
	running []job.Size
	endsAt  []int
}

// runSteps is how many steps of 120 ms a task runs: a second.
const runSteps = 8

func (p *shapedPool) used() job.Size { return total(p.running) }

func total(sizes []job.Size) job.Size {
	var sum job.Size
	for _, s := range sizes {
		sum = sum.Plus(s)
	}
	return sum
}

// step ends and starts tasks.
func (p *shapedPool) step(n int, limit job.Size) {
	var running []job.Size
	var endsAt []int
	for i, s := range p.running {
		if p.endsAt[i] > n {
			running, endsAt = append(running, s), append(endsAt, p.endsAt[i])
		}
	}
	p.running, p.endsAt = running, endsAt
	var left []job.Size
	for _, s := range p.waiting {
		if !quota.Within(p.used().Plus(s), p.set.For("c0", limit), limit) {
			left = append(left, s)
			continue
		}
		p.running, p.endsAt = append(p.running, s), append(p.endsAt, n+runSteps)
	}
	p.waiting = left
}

func (p *shapedPool) report(q quota.Query, version uint64) quota.Report {
	if q.Allowances != nil && p.set.OlderThan(*q.Allowances) {
		p.set = *q.Allowances
	}
	a := quota.Account{Used: p.used(), Demand: p.used().Plus(total(p.waiting))}
	for _, s := range p.waiting {
		if a.MinStart == (job.Size{}) || s.CPU < a.MinStart.CPU {
			a.MinStart = s
		}
	}
	return quota.Report{OwnerEpoch: 1, ConfigVersion: version, Allowances: p.set, Accounts: map[string]quota.Account{"c0": a}}
}

// flood gives four pools ten times what a customer's limit allows, of tasks from shape, and returns the
// mean use of the limit from the second second on.
func flood(t *testing.T, limit job.Size, shape func(pool int, r *rand.Rand) job.Size) (cpu, memory float64) {
	c := config.New(1, nil, []config.Pool{{Name: "p0"}, {Name: "p1"}, {Name: "p2"}, {Name: "p3"}}, config.Limits{}).
		WithCustomers([]config.Customer{{Name: "c0", Limit: limit}})
	l, now, r := Lender{Epoch: 1}, time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	pools := make([]shapedPool, len(c.Pools))
	const steps, first = 60, 9
	for n := range steps {
		for i := range pools {
			for total(pools[i].waiting).CPU < 10*limit.CPU/len(pools) {
				pools[i].waiting = append(pools[i].waiting, shape(i, r))
			}
			l.ApplyReport(c.Pools[i].Name, pools[i].report(quota.Query{Epoch: 1}, 1), now)
		}
		for range 3 {
			_, err := l.Plan(c, now)
			assert.NilError(t, err)
			for _, name := range l.DuePools() {
				var i int
				_, err := fmt.Sscanf(name, "p%d", &i)
				assert.NilError(t, err)
				l.ApplyReport(name, pools[i].report(l.Query(name), 1), now)
			}
		}
		var used job.Size
		for i := range pools {
			pools[i].step(n, limit)
			used = used.Plus(pools[i].used())
		}
		assert.Assert(t, quota.Within(used, limit, limit), "step %d: uses %+v of %+v", n, used, limit)
		if n >= first {
			cpu += float64(used.CPU) / float64(limit.CPU) / (steps - first)
			memory += float64(used.MemoryMB) / float64(limit.MemoryMB) / (steps - first)
		}
		now = now.Add(120 * time.Millisecond)
	}
	return cpu, memory
}

// TestFloodOfUnlikeTasksUsesTheLimit guards against shares of a limit that are cut in the dimension that is
// not scarce: one customer floods all pools with tasks that differ in shape, and a second later uses at
// least 0.9 of the scarcer dimension of its limit.
func TestFloodOfUnlikeTasksUsesTheLimit(t *testing.T) {
	t.Parallel()
	limit := job.Size{CPU: 10_488_000, MemoryMB: 14_758_000}
	for name, shape := range map[string]func(int, *rand.Rand) job.Size{
		"within each pool": func(_ int, r *rand.Rand) job.Size {
			return job.Size{CPU: 2000 + r.IntN(30_000), MemoryMB: 3000 + r.IntN(30_000)}
		},
		"small tasks need memory": func(_ int, r *rand.Rand) job.Size {
			if r.IntN(4) == 0 {
				return job.Size{CPU: 1000 + r.IntN(1000), MemoryMB: 30_000}
			}
			return job.Size{CPU: 8000 + r.IntN(20_000), MemoryMB: 4000}
		},
		"between pools": func(pool int, r *rand.Rand) job.Size {
			if pool%2 == 0 {
				return job.Size{CPU: 20_000 + r.IntN(20_000), MemoryMB: 5000}
			}
			return job.Size{CPU: 3000 + r.IntN(3000), MemoryMB: 20_000 + r.IntN(20_000)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cpu, memory := flood(t, limit, shape)
			t.Logf("cpu %.3f, memory %.3f", cpu, memory)
			assert.Assert(t, max(cpu, memory) >= 0.9, "%.3f of the CPU limit, %.3f of the memory limit", cpu, memory)
		})
	}
}
