// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestCallsToDarkWorker guards against a model in which a crash of a worker is always noticed at once: which calls get a
// response, and when, and that a poll which is repeated extends a lease of the next incarnation.
func TestCallsToDarkWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(1)
		id := w.AddWorker("m-1", "p", "r-1", job.Size{CPU: 1000})
		w.RestartWithSameID()
		w.RecordSubmission(job.Submission{ID: "0000000000000001", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1}, Estimate: time.Minute}}})
		link := w.Workers("n1").Open(worker.Worker{ID: id})
		time.Sleep(4 * time.Second)
		began := time.Now()
		var first port.Response
		var firstTook time.Duration
		responded := make(chan struct{})
		go func() {
			defer close(responded)
			_, first = link.Poll(t.Context(), port.Poll{Wait: 500 * time.Millisecond, Deadline: clockStart + 8*time.Second})
			firstTook = time.Since(began)
		}()
		time.Sleep(100 * time.Millisecond)
		w.CrashDark(id, 550*time.Millisecond)
		start := port.Start{Task: "0000000000000001.0.0.0", Number: 1, Deadline: clockStart + 5*time.Second}
		lost := link.Start(t.Context(), start)
		assert.Equal(t, lost.Result, port.Unknown)
		assert.Equal(t, time.Since(began), 100*time.Millisecond+orderTime+callTimeout)
		time.Sleep(time.Until(began.Add(660 * time.Millisecond)))
		assert.Equal(t, len(w.Runs("0000000000000001")), 0)
		assert.Equal(t, link.Start(t.Context(), start).Result, port.Accepted)
		time.Sleep(time.Until(began.Add(time.Second)))
		<-responded
		assert.Equal(t, first.Result, port.Unknown)
		assert.Equal(t, firstTook, 500*time.Millisecond+callTimeout)
		time.Sleep(time.Until(began.Add(8 * time.Second))) // the next incarnation is 7.35 s old, so the start's lease has ended
		assert.Equal(t, len(w.Runs("0000000000000001")), 1)
		time.Sleep(time.Second)
		assert.Equal(t, len(w.Runs("0000000000000001")), 0)
	})
}
