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

// TestRules checks which starts break a rule and which are allowed.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(w *World)
		rule   string // the rule that is broken, "" for none
	}{
		{"a job that is wanted", func(*World) {}, ""},
		{"a refused job", func(w *World) { w.RecordRefusal("0000000000000001") }, "REFUSED"},
		{"soon after a cancel", func(w *World) {
			w.RecordCancel("0000000000000001")
			time.Sleep(cancelBound - orderTime)
		}, ""},
		{"long after a cancel", func(w *World) {
			w.RecordCancel("0000000000000001")
			time.Sleep(cancelBound + time.Millisecond)
		}, "UNASKED"},
		{"long after a cancel, by an isolated node", func(w *World) {
			w.RecordCancel("0000000000000001")
			time.Sleep(cancelBound + time.Millisecond)
			w.SetFaults("n1", func(f *Faults) { f.IsolatedUntil = time.Now().Add(time.Second) })
		}, ""},
		{"soon after an evacuation", func(w *World) {
			w.Evacuate("dc-r-1")
			time.Sleep(evacuationBound - 2*orderTime)
		}, ""},
		{"long after an evacuation, which was repeated", func(w *World) {
			w.Evacuate("dc-r-1")
			time.Sleep(evacuationBound)
			w.Evacuate("dc-r-1")
		}, "EVAC"},
		{"after the evacuation of another data centre", func(w *World) {
			w.Evacuate("dc-r-2")
			time.Sleep(2 * evacuationBound)
		}, ""},
		{"after the end of an evacuation", func(w *World) {
			w.Evacuate("dc-r-1")
			time.Sleep(2 * evacuationBound)
			w.EndEvacuation("dc-r-1")
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(1)
				id := w.AddWorker("m-1", "p", "r-1", job.Size{CPU: 1000, MemoryMB: 1000})
				w.RecordSubmission(job.Submission{ID: "0000000000000001", Spec: "poison", Steps: []job.Step{{Count: 1, Estimate: time.Second}}})
				c.before(w)
				l := w.Workers("n1").Open(worker.Worker{ID: id})
				a := l.Start(t.Context(), port.Start{Task: "0000000000000001.0.0.0", Number: 1, Spec: "poison", Deadline: time.Hour, Token: 1})
				assert.Equal(t, a.Result, port.Accepted)
				assert.Equal(t, len(w.Runs("0000000000000001")), 1)
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(w.Runs("0000000000000001")), 0)
				assert.Assert(t, !w.HasFailed("0000000000000001") && !w.HasCompleted("0000000000000001"))
				violations := strings.Join(w.Violations(), "\n")
				assert.Assert(t, (violations == "") == (c.rule == "") && strings.HasPrefix(violations, c.rule), violations)
			})
		})
	}
}

// TestRefusalOfStartedJob guards against a caller being told that a job will not run after
// the job has started.
func TestRefusalOfStartedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(1)
		id := w.AddWorker("m-1", "p", "r-1", job.Size{})
		w.RecordSubmission(job.Submission{ID: "0000000000000001", Steps: []job.Step{{Count: 1}}})
		w.Workers("n1").Open(worker.Worker{ID: id}).Start(t.Context(), port.Start{Task: "0000000000000001.0.0.0", Number: 1, Deadline: time.Hour})
		w.RecordRefusal("0000000000000001")
		assert.Assert(t, strings.HasPrefix(strings.Join(w.Violations(), "\n"), "REFUSED"))
	})
}

// TestDeferredOrders has a worker apply a deferred order just before, and just after, the
// bound on starts after a cancel.
func TestDeferredOrders(t *testing.T) {
	for delay, rule := range map[time.Duration]string{cancelBound - time.Second: "", cancelBound + time.Second: "UNASKED"} {
		synctest.Test(t, func(t *testing.T) {
			w := New(1)
			id := w.AddWorker("m-1", "p", "r-1", job.Size{})
			w.RecordSubmission(job.Submission{ID: "0000000000000001", Steps: []job.Step{{Count: 1, Estimate: time.Second}}})
			w.ChangeWorker(id, func(o *Worker) { o.DefersOrders = true })
			a := w.Workers("n1").Open(worker.Worker{ID: id}).Start(t.Context(), port.Start{Task: "0000000000000001.0.0.0", Number: 1, Deadline: time.Hour})
			assert.Equal(t, a.Result, port.Unknown)
			w.RecordCancel("0000000000000001")
			time.Sleep(delay)
			assert.Equal(t, len(w.Runs("0000000000000001")), 0)
			w.ChangeWorker(id, func(o *Worker) { o.DefersOrders = false })
			assert.Equal(t, len(w.Runs("0000000000000001")), 1)
			violations := strings.Join(w.Violations(), "\n")
			assert.Assert(t, (violations == "") == (rule == "") && strings.HasPrefix(violations, rule), violations)
		})
	}
}

// TestGangEndsTogether checks that the members of a gang are done together, that the end of
// one breaks the others, and that a missing member makes the others time out.
func TestGangEndsTogether(t *testing.T) {
	for _, c := range []struct {
		members int
		crash   bool
		ends    string // of the first member
	}{{2, false, "done"}, {2, true, "broken"}, {1, false, "alone"}} {
		synctest.Test(t, func(t *testing.T) {
			w := New(1)
			ids := []worker.ID{w.AddWorker("m-1", "p", "r-1", job.Size{}), w.AddWorker("m-2", "p", "r-1", job.Size{})}
			w.RecordSubmission(job.Submission{ID: "0000000000000001", Steps: []job.Step{{Count: 2, Estimate: time.Second, Gang: true}}})
			for i, id := range ids[:c.members] {
				time.Sleep(100 * time.Millisecond)
				task := []string{"0000000000000001.0.0.0", "0000000000000001.0.0.1"}[i]
				w.Workers("n1").Open(worker.Worker{ID: id}).Start(t.Context(), port.Start{Task: task, Number: 1, Deadline: time.Hour})
			}
			time.Sleep(500 * time.Millisecond)
			if c.crash {
				w.Crash(ids[1], time.Second)
			}
			time.Sleep(5 * time.Second)
			l, _ := w.Workers("n1").Open(worker.Worker{ID: ids[0]}).Poll(t.Context(), port.Poll{})
			assert.Equal(t, len(l.Ends), 1)
			assert.Equal(t, string(l.Ends[0].Reason), c.ends)
			assert.Equal(t, w.HasCompleted("0000000000000001"), c.ends == "done")
		})
	}
}
