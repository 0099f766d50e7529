// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestJudge has a node do what it must not, and what it may.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(w *World)
		rule   string // that is broken, "" for none
	}{
		{"a job that is wanted", func(*World) {}, ""},
		{"a refused job", func(w *World) { w.Refused("0000000000000001") }, "REFUSED"},
		{"soon after a cancel", func(w *World) {
			w.Cancelled("0000000000000001")
			time.Sleep(cancelTime - orderTime)
		}, ""},
		{"long after a cancel", func(w *World) {
			w.Cancelled("0000000000000001")
			time.Sleep(cancelTime + time.Millisecond)
		}, "UNASKED"},
		{"long after a cancel and out of touch", func(w *World) {
			w.Cancelled("0000000000000001")
			time.Sleep(cancelTime + time.Millisecond)
			w.Set("n1", func(f *Faults) { f.Apart = time.Now().Add(time.Second) })
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(1)
				id := w.AddWorker("m-1", "p", "r-1", job.Size{CPU: 1000, MemoryMB: 1000})
				w.Submitted(job.Submission{ID: "0000000000000001", Spec: "poison", Steps: []job.Step{{Count: 1, Estimate: time.Second}}})
				c.before(w)
				l := w.Workers("n1").Open(worker.Worker{ID: id})
				a := l.Start(t.Context(), port.Start{Task: "0000000000000001.0.0.0", Number: 1, Spec: "poison", Deadline: time.Hour, Token: 1})
				assert.Equal(t, a.Verdict, port.Taken)
				assert.Equal(t, len(w.Runs("0000000000000001")), 1)
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(w.Runs("0000000000000001")), 0)
				assert.Assert(t, !w.HasFailed("0000000000000001") && !w.HasCompleted("0000000000000001"))
				broken := strings.Join(w.Violations(), "\n")
				assert.Assert(t, (broken == "") == (c.rule == "") && strings.HasPrefix(broken, c.rule), broken)
			})
		})
	}
}

// TestRefusedAfterItHasBegun has a customer be told that a job will not run which
// does.
func TestRefusedAfterItHasBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(1)
		id := w.AddWorker("m-1", "p", "r-1", job.Size{})
		w.Submitted(job.Submission{ID: "0000000000000001", Steps: []job.Step{{Count: 1}}})
		w.Workers("n1").Open(worker.Worker{ID: id}).Start(t.Context(), port.Start{Task: "0000000000000001.0.0.0", Number: 1, Deadline: time.Hour})
		w.Refused("0000000000000001")
		assert.Assert(t, strings.HasPrefix(strings.Join(w.Violations(), "\n"), "REFUSED"))
	})
}
