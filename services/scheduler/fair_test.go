// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
)

// BenchmarkPlanOfCustomers plans 3,000 waiting tasks on 40 full workers, without customers and with
// 20 of them.
func BenchmarkPlanOfCustomers(b *testing.B) {
	for _, customers := range []int{0, 20} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			p, now := fullPool(customers)
			for b.Loop() {
				p.needsPlan = true
				now = now.Add(time.Millisecond)
				p.Plan(now)
			}
		})
	}
}

// fullPool returns a pool with 3,000 waiting tasks, and its time.
func fullPool(customers int) (*Pool, time.Time) {
	p := New("p", 1, Limits{Lease: time.Hour, StopTime: time.Second, Retention: time.Hour}, log.Nop())
	var list []config.Customer
	for i := range customers {
		list = append(list, config.Customer{Name: fmt.Sprint("c", i), Limit: job.Size{CPU: 1 << 30}})
	}
	queues := []config.Queue{{Name: "q", Host: "h", PathPrefix: "/", Pool: "p", Stretch: 2, BaseObjective: time.Hour}}
	p.Configure(config.New(1, queues, []config.Pool{{Name: "p"}}, config.Limits{}).WithCustomers(list))
	p.allowances.current.Version, p.allowances.current.DefaultFraction = 1, 1
	now := time.Unix(1000, 0)
	for i := range 40 {
		w := p.addWorker(worker.Worker{ID: worker.ID(fmt.Sprint("w", i)), Capacity: job.Size{CPU: 16000, MemoryMB: 64000}})
		w.hasResponded, w.listed = true, true
	}
	for i := range 300 {
		s := job.Submission{ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "h/", Steps: []job.Step{{Count: 10, Size: job.Size{CPU: 2000, MemoryMB: 100}, Estimate: time.Second}}}
		if customers > 0 {
			s.Customer = fmt.Sprint("c", i%customers)
		}
		p.Submit(s, now)
	}
	p.Plan(now)
	return p, now
}
