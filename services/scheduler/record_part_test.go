// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// storeRecordBytes is the size beyond which the users' store refuses a record.
const storeRecordBytes = 262144

// largest returns the size of the largest record, and that of all.
func largest(records []port.Record) (most, all int) {
	for _, r := range records {
		size := 5 + len(r.Key) + len(r.Value)
		most, all = max(most, size), all+size
	}
	return most, all
}

// touchAll lets tasks of a job have a progress, as if they had been started: every n-th one of the first steps is
// not done.
func (d *testPool) touchAll(j *jobState, rounds, steps, n int) {
	for round := range rounds {
		r := j.openRound(round)
		for i := range steps {
			s := &r.steps[i]
			for t := range s.count() {
				s.task(t).number++
				if t%n > 0 || n == 1 {
					s.setDone(t)
				}
			}
		}
	}
	j.countOpenSteps()
	d.markDirty(j)
}

// describe returns the progress of a job as text. Of tasks that are done, owners keep nothing else.
func describe(j *jobState) string {
	var text strings.Builder
	for n, r := range j.rounds {
		if r == endedRound {
			fmt.Fprintf(&text, "round %d done;", n)
			continue
		}
		for i := 0; r != nil && i < len(r.steps); i++ {
			s := &r.steps[i]
			for index := range s.count() {
				t, ref := s.peek(index), job.TaskRef{StepRef: s.ref, Index: index}
				switch {
				case t.done:
					fmt.Fprintf(&text, "%s done;", ref)
				case !t.untouched():
					fmt.Fprintf(&text, "%s %d %d %v %q %d;", ref, t.number, t.failures, t.done, t.checkpoint, len(t.runs))
				}
			}
			if s := &r.steps[i]; !s.untouched() {
				fmt.Fprintf(&text, "round %d step %d: %d done, %d wait, %d open;", n, i, s.done, s.waiting, r.openSteps)
			}
		}
	}
	return text.String()
}

// TestRecordsOfLargeJobsStaySmall guards against LOST: the record of one job outgrows what the store accepts in a
// record, so that nothing of its pool is persisted any more, by no next owner either: a job of very many tasks,
// and a scheduled one whose times can't be completed.
func TestRecordsOfLargeJobsStaySmall(t *testing.T) {
	small := job.Size{CPU: 100}
	jobs := map[string]struct {
		submission           job.Submission
		rounds, steps, count int
	}{
		"tasks": {job.Submission{Steps: []job.Step{{Count: 100_000, Size: small, Estimate: time.Second}}}, 1, 1, 2},
		"times": {job.Submission{RepeatCount: 4000, Interval: time.Millisecond, FirstDue: time.Unix(500, 0), Steps: []job.Step{
			{Count: 20, Size: small, Estimate: time.Second}, {Count: 100, Size: small, Estimate: time.Second, DependsOn: []int{0}, Label: "none"},
		}}, 4000, 1, 1},
		"done": {job.Submission{RepeatCount: 50_000, Interval: time.Millisecond, FirstDue: time.Unix(500, 0), Steps: []job.Step{
			{Count: 2, Size: small, Estimate: time.Second},
		}}, 49_999, 1, 1},
	}
	for name, c := range jobs {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			c.submission.ID, c.submission.Queue = "1", "h/q/"
			d.Submit(c.submission, d.now)
			most, _ := largest(d.persist())
			assert.Assert(t, most < storeRecordBytes/4, "the first record has %d bytes", most)
			j := d.jobs["1"]
			d.touchAll(j, c.rounds, c.steps, c.count)
			b, err := d.Collect()
			assert.NilError(t, err)
			most, _ = largest(b.Records)
			assert.Assert(t, most < storeRecordBytes/4, "a record has %d bytes", most)
			d.Committed(b, d.now)
			for _, r := range b.Records {
				d.journal[r.Key] = r
			}
			want := describe(j)
			next := newTestPool(t, 2)
			assert.NilError(t, next.Restore(slices.Collect(maps.Values(d.journal)), d.now, time.Minute))
			assert.Assert(t, describe(next.jobs["1"]) == want, "the next owner restores another progress")

			j = next.jobs["1"]
			s := &j.openRound(j.firstOpenRound()).steps[0]
			s.task(0).failures++
			next.markDirty(next.jobs["1"])
			b, err = next.Collect()
			assert.NilError(t, err)
			_, all := largest(b.Records)
			assert.Assert(t, all < storeRecordBytes/4, "the change of one task writes %d bytes", all)
		})
	}
}

// TestPartsAreRemovedWithTheirJob guards against records that stay in the journal for good, and against a next owner
// that can't restore the pool for them.
func TestPartsAreRemovedWithTheirJob(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 5000)
	d.touchAll(d.jobs["1"], 1, 1, 3)
	d.persist()
	partKeys := func() int {
		n := 0
		for key, r := range d.journal {
			if strings.HasPrefix(key, keyPart) && len(r.Value) > 0 {
				n++
			}
		}
		return n
	}
	assert.Equal(t, partKeys(), 5000/tasksPerPart)
	d = d.nextOwner()
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.persist()
	assert.Equal(t, partKeys(), 0)
	d = d.nextOwner()
	assert.Equal(t, d.jobs["1"].state, job.Cancelled)
}

// TestLeftPartStopsNoPool guards against LOST: a part that is left in the journal without its job keeps every next
// owner from claiming the pool.
func TestLeftPartStopsNoPool(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 5000)
	d.submit("2", 1)
	d.touchAll(d.jobs["1"], 1, 1, 3)
	d.persist()
	delete(d.journal, keyProgress+"1")
	delete(d.journal, keySubmission+"1")
	d = d.nextOwner()
	assert.Assert(t, d.Has("2") && !d.Has("1"))
}

// TestRandomProgressIsRestored compares the progress of random jobs, which are split at random sizes, before and
// after changes of the owner.
func TestRandomProgressIsRestored(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := newTestPool(t, 1)
		s := job.Submission{ID: "1", Queue: "h/q/", RepeatCount: r.IntN(4) * r.IntN(60), FirstDue: time.Unix(500, 0)}
		for range 1 + r.IntN(4) {
			s.Steps = append(s.Steps, job.Step{Count: 1 + r.IntN(1+r.IntN(700)), Size: job.Size{CPU: 10}, Estimate: time.Second})
		}
		d.Submit(s, d.now)
		d.persist()
		for range 1 + r.IntN(4) {
			j := d.jobs["1"]
			for range r.IntN(300) {
				round := j.openRound(r.IntN(s.Rounds()))
				if round == endedRound {
					continue
				}
				step := &round.steps[r.IntN(len(round.steps))]
				first := r.IntN(step.count())
				for i := first; i < min(step.count(), first+1+r.IntN(400)); i++ {
					if step.isDone(i) {
						continue
					}
					o := step.task(i)
					o.number++
					switch r.IntN(4) {
					case 0:
						o.failures++
					case 1:
						o.checkpoint = fmt.Sprintf("%016x", r.Uint64())
					case 2:
						step.setDone(i)
					}
				}
			}
			j.countOpenSteps()
			d.markDirty(j)
			b, err := d.Collect()
			assert.NilError(t, err)
			for _, o := range b.Records {
				d.journal[o.Key] = o
			}
			want := describe(j)
			next := newTestPool(t, d.Token+1)
			next.now, next.journal = d.now, d.journal
			assert.NilError(t, next.Restore(slices.Collect(maps.Values(d.journal)), next.now, time.Minute))
			assert.Assert(t, describe(next.jobs["1"]) == want, "seed %d", seed)
			d = next
		}
	}
}

// TestRunsOfASplitJobAreRestored guards against TWICE: a run in a part is not known to the next owner.
func TestRunsOfASplitJobAreRestored(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 3000)
	d.touchAll(d.jobs["1"], 1, 1, 3)
	d.listWorker("a")
	started := d.startAll("a")
	assert.Equal(t, len(started), 4)
	d = d.nextOwner()
	assert.Assert(t, d.jobs["1"].parts.split)
	var restored []string
	for _, u := range d.jobs["1"].runs() {
		restored = append(restored, u.name)
	}
	slices.Sort(started)
	slices.Sort(restored)
	assert.DeepEqual(t, restored, started)
	d.UpdateWorker(worker.Worker{ID: "b", Instance: "b", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.poll("b", worker.PollResult{}, accepted)
	for _, task := range d.startAll("b") {
		assert.Assert(t, !slices.Contains(started, task), "%s is started again", task)
	}
}
