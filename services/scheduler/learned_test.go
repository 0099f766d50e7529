// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/port"
)

// surgeStep is a step of a job in a surge, whose run times are far from the callers' estimates.
var surgeStep = job.Step{Count: 4, Size: job.Size{CPU: 1000, MemoryMB: 1000}, Estimate: time.Second, Image: "i"}

// inASurge returns a pool to which jobs have arrived for two seconds, and its records.
func inASurge(t *testing.T) (*testPool, map[string]port.Record) {
	d := newTestPool(t, 1)
	records := make(map[string]port.Record)
	for n := range 40 {
		d.now = d.now.Add(50 * time.Millisecond)
		d.Submit(job.Submission{ID: job.ID(fmt.Sprint(n)), Queue: "h/q/", Customer: "c", Steps: []job.Step{surgeStep}}, d.now)
		j := d.jobs[job.ID(fmt.Sprint(n))]
		j.openRound(0)
		d.recordRunTime(j, &j.rounds[0].steps[0], 3*time.Second)
		for _, r := range d.persist() {
			records[r.Key] = r
		}
	}
	return d, records
}

// restoredFrom returns the next owner of a pool, a while after the records were written.
func restoredFrom(t *testing.T, last *testPool, records map[string]port.Record, after time.Duration) *testPool {
	d := newTestPool(t, 2)
	d.now = last.now.Add(after)
	var list []port.Record
	for _, r := range records {
		list = append(list, r)
	}
	assert.NilError(t, d.Restore(list, d.now, time.Minute))
	return d
}

// TestNextOwnerKnowsTheSurge guards against a surge that is new to the next owner of its pool: it asks for
// the instances that arriving work needs, and expects the run times that were measured, from its first
// report on.
func TestNextOwnerKnowsTheSurge(t *testing.T) {
	first, records := inASurge(t)
	before := first.Report(CordonRequest{}, first.now)
	next := restoredFrom(t, first, records, 300*time.Millisecond)
	after := next.Report(CordonRequest{}, next.now)
	assert.Assert(t, after.ArrivalLoad.CPU > before.ArrivalLoad.CPU/3, "%d of %d", after.ArrivalLoad.CPU, before.ArrivalLoad.CPU)
	assert.Equal(t, next.expectedRunTime("h/q/", &surgeStep).Round(10*time.Millisecond), 3*time.Second)
	other := surgeStep
	other.Image = ""
	ratio := next.expectedRunTime("h/q/", &other).Seconds() / first.expectedRunTime("h/q/", &other).Seconds() // the record may lack the last second
	assert.Assert(t, ratio > 0.95 && ratio < 1.05, "%.3f", ratio)
	assert.Assert(t, after.Slack > 0)
}

// TestOldSurgeIsNotRestored guards against instances for a surge that has ended while the pool had no
// owner.
func TestOldSurgeIsNotRestored(t *testing.T) {
	first, records := inASurge(t)
	next := restoredFrom(t, first, records, maxLearnedAge+2*learnedInterval)
	assert.Equal(t, next.Report(CordonRequest{}, next.now).ArrivalLoad, job.Size{})
	assert.Equal(t, next.expectedRunTime("h/q/", &surgeStep).Round(10*time.Millisecond), 3*time.Second)
}

// TestUnreadableLearnedValuesAreNotUsed guards against a pool without an owner because of a record that is
// not needed to own it.
func TestUnreadableLearnedValuesAreNotUsed(t *testing.T) {
	first, records := inASurge(t)
	records[keyLearned] = port.Record{Key: keyLearned, Value: []byte("?")}
	next := restoredFrom(t, first, records, 0)
	assert.Equal(t, len(next.active), len(first.active))
	assert.Equal(t, next.expectedRunTime("h/q/", &surgeStep), surgeStep.Estimate)
}

// TestLearnedValuesCauseNoAppend guards against appends at rest, and against records that grow with the
// number of images.
func TestLearnedValuesCauseNoAppend(t *testing.T) {
	d, _ := inASurge(t)
	for n := range 5000 {
		d.runTimesByImage[fmt.Sprintf("image-%d", n)] = &mean{value: 1.5, count: n}
	}
	d.now = d.now.Add(learnedInterval)
	d.Configure(config.New(2, testConfig.Queues, testConfig.Pools, config.Limits{}))
	assert.Equal(t, len(d.persist()), 0)
	d.submit("new", 1)
	for _, r := range d.persist() {
		if r.Key == keyLearned {
			assert.Assert(t, len(r.Value) < 50*maxLearnedImages, "%d bytes", len(r.Value))
			return
		}
	}
	t.Fatal("the batch of a new job carries no learned values")
}
