// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
)

// TestWaitingStepsAreExplained guards against jobs that are accepted and do not start without a line that
// says what they wait for.
func TestWaitingStepsAreExplained(t *testing.T) {
	one := job.Step{Count: 1, Size: job.Size{CPU: 1000}}
	for want, set := range map[waitReason]func(d *testPool, s *job.Step){
		waitsForCapacity: func(d *testPool, _ *job.Step) { d.resize(500) },
		waitsForLabel:    func(_ *testPool, s *job.Step) { s.Label = "other" },
		waitsForWorkers:  func(d *testPool, _ *job.Step) { d.workers["w"].evacuated = true },
		waitsForSpread: func(_ *testPool, s *job.Step) {
			s.Count, s.MaxPerWorker = 2, 1 // the other task of the step runs on the only worker
		},
		waitsForLending: func(d *testPool, _ *job.Step) {
			d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 1, Version: 2, ByCustomer: map[string]job.Size{"c": {CPU: 500}}})
		},
		waitsForLimit: func(d *testPool, _ *job.Step) { d.Configure(withLimit(3, 3000)) },
		waitsForTicket: func(d *testPool, _ *job.Step) {
			d.Configure(config.New(4, []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Advice: &config.Advice{}}}, []config.Pool{{Name: "p"}}, config.Limits{}))
		},
	} {
		t.Run(string(want), func(t *testing.T) {
			d := newTestPool(t, 1)
			d.registerWorker()
			d.Configure(withLimit(2, 4000))
			d.SetAllowances(quota.Allowances{Epoch: 1, Version: 2, DefaultFraction: 1})
			var lines bytes.Buffer
			d.Logger = zerolog.New(&lines)
			s := one
			set(d, &s)
			d.Submit(job.Submission{ID: "1", Queue: "h/q/", Customer: "c", Steps: []job.Step{s}}, d.now)
			d.persist()
			assert.Assert(t, !strings.Contains(lines.String(), `"event":"wait"`), "logged at once: %s", &lines)
			for range 4 {
				d.now = d.now.Add(time.Second)
				d.Plan(d.now)
			}
			assert.Equal(t, strings.Count(lines.String(), `"event":"wait"`), 1, "%s", &lines)
			assert.Assert(t, strings.Contains(lines.String(), `"for":"`+string(want)+`"`), "%s", &lines)
		})
	}
}

// TestManyWaitingStepsLogFewLines guards against a log that grows with the number of steps that wait.
func TestManyWaitingStepsLogFewLines(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	var lines bytes.Buffer
	for n := range 99 {
		d.Submit(job.Submission{ID: job.ID(fmt.Sprint(n)), Queue: "h/q/", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 5000}}}}, d.now)
	}
	d.Logger = zerolog.New(&lines)
	for range 100 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.needsPlan = true
		d.Plan(d.now)
	}
	n := strings.Count(lines.String(), `"event":"wait"`)
	assert.Assert(t, n > 5 && n <= 15, "%d lines in 10 s", n)
}
