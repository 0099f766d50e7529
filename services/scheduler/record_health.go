// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// Where tasks have failed, and which workers are unhealthy, is persisted: the next owner would
// otherwise use up the remaining attempts of a task where it has failed before.
const (
	keyFailures = "f/" // followed by the job's name
	keyHealth   = "h/" // followed by the worker's name
)

// failureRecord is the persisted form of the workers on which a task has failed.
type failureRecord struct {
	Round   int         `cbor:"1,keyasint"`
	Step    int         `cbor:"2,keyasint"`
	Index   int         `cbor:"3,keyasint"`
	Workers []worker.ID `cbor:"4,keyasint"`
}

// healthRecord is the persisted form of a worker's health.
type healthRecord struct {
	Failed     []job.ID `cbor:"1,keyasint"`           // jobs that have failed there since its last success
	Only       []job.ID `cbor:"2,keyasint,omitempty"` // subset of them that has failed nowhere else
	EjectedFor int64    `cbor:"3,keyasint,omitempty"` // length of the last ejection, in milliseconds
	Until      int64    `cbor:"4,keyasint,omitempty"` // end of the ejection, in milliseconds since 1970
	OnTrial    bool     `cbor:"5,keyasint,omitempty"`
	StartedAt  int64    `cbor:"6,keyasint,omitempty"` // start time of the worker's incarnation, 0 if unknown
}

// failureRecords returns where the open tasks of a job have failed.
func (j *jobState) failureRecords() []failureRecord {
	var list []failureRecord
	for ref, t := range j.touched() {
		if len(t.failedOn) > 0 && !t.done {
			list = append(list, failureRecord{Round: ref.Round, Step: ref.Step, Index: ref.Index, Workers: t.failedOn})
		}
	}
	return list
}

// restoreFailures restores where tasks have failed under earlier owners. Their next attempts look
// for other workers as if they had failed just now.
func (p *Pool) restoreFailures(records []port.Record, now time.Time) error {
	return eachRecord(records, keyFailures, "failures of", func(id string, failures []failureRecord) error {
		for _, f := range failures {
			s, t := p.openTask(job.TaskRef{StepRef: job.StepRef{Job: job.ID(id), Round: f.Round, Step: f.Step}, Index: f.Index})
			if t == nil || t.done {
				continue // its job has ended, or it is done
			}
			s.job.failures.persisted = true
			t = s.task(f.Index)
			t.failedOn, t.failedAt = f.Workers, now
			for _, w := range f.Workers {
				s.job.noteFailedOn(w)
			}
		}
		return nil
	})
}

// markHealthChanged marks a worker's health as changed, so that the next batch persists it.
func (p *Pool) markHealthChanged(w *workerState) {
	if !slices.Contains(p.changedHealth, w.info.ID) {
		p.changedHealth = append(p.changedHealth, w.info.ID)
	}
}

// addHealth adds the changed health of workers to the batch.
func (p *Pool) addHealth(b *Batch) error {
	for _, id := range p.removedWorkers {
		if p.workers[id] == nil && p.persistedHealth[id] {
			delete(p.persistedHealth, id)
			b.Records = append(b.Records, port.Record{Key: keyHealth + string(id)})
		}
	}
	for _, id := range p.changedHealth {
		w := p.workers[id]
		if w == nil {
			continue
		}
		r := port.Record{Key: keyHealth + string(id)}
		switch healthy := w.health.isZero(); {
		case healthy && !p.persistedHealth[id]:
			continue
		case healthy:
			delete(p.persistedHealth, id)
		default:
			data, err := codec.Marshal(w.healthRecord(p))
			if err != nil {
				return err
			}
			r.Value = data
			p.persistedHealth[id] = true
		}
		b.Records = append(b.Records, r)
	}
	p.changedHealth = nil
	return nil
}

// isZero reports whether nothing is held against a worker.
func (h *health) isZero() bool { return len(h.failed) == 0 && !h.onTrial && h.ejectedFor == 0 }

// healthRecord returns the persisted form of a worker's health.
func (w *workerState) healthRecord(p *Pool) healthRecord {
	r := healthRecord{EjectedFor: w.health.ejectedFor.Milliseconds(), OnTrial: w.health.onTrial, StartedAt: w.startedAt}
	if !w.health.ejectedUntil.IsZero() {
		r.Until = p.Clock.WallTime(w.health.ejectedUntil).UnixMilli()
	}
	for j := range w.health.failed {
		r.Failed = append(r.Failed, j.sub.ID)
		if len(j.failedOn) == 1 {
			r.Only = append(r.Only, j.sub.ID)
		}
	}
	slices.Sort(r.Failed)
	slices.Sort(r.Only)
	r.Failed, r.Only = r.Failed[:min(len(r.Failed), maxJobEntries)], r.Only[:min(len(r.Only), maxJobEntries)]
	return r
}

// restoreHealth restores the health of workers as known to earlier owners. It applies to a worker
// once it is added.
func (p *Pool) restoreHealth(records []port.Record, now time.Time) error {
	p.restoredAt = now
	err := eachRecord(records, keyHealth, "health of worker", func(id string, h healthRecord) error {
		p.persistedHealth[worker.ID(id)], p.restoredHealth[worker.ID(id)] = true, h
		return nil
	})
	if err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		p.applyRestoredHealth(p.workers[id])
	}
	return nil
}

// staleHealthAfter is how long after the take-over the health of a worker that is not listed is
// kept: entries of the platform's list may be missing for seconds.
const staleHealthAfter = 30 * time.Second

// dropStaleHealth removes the restored health of workers that are not listed any more.
func (p *Pool) dropStaleHealth(now time.Time) {
	if len(p.restoredHealth) == 0 || now.Sub(p.restoredAt) < staleHealthAfter {
		return
	}
	p.removedWorkers = slices.AppendSeq(p.removedWorkers, maps.Keys(p.restoredHealth))
	clear(p.restoredHealth)
}

// applyRestoredHealth applies the health that an earlier owner has persisted to a worker.
func (p *Pool) applyRestoredHealth(w *workerState) {
	h, has := p.restoredHealth[w.info.ID]
	if !has {
		return
	}
	delete(p.restoredHealth, w.info.ID)
	w.health = health{ejectedFor: time.Duration(h.EjectedFor) * time.Millisecond, onTrial: h.OnTrial}
	if h.Until > 0 {
		// The earlier owner's time of day may be wrong: an ejection lasts no longer than it did there.
		w.health.ejectedUntil = p.Clock.FromWallTime(time.UnixMilli(h.Until))
		if latest := p.restoredAt.Add(w.health.ejectedFor); w.health.ejectedUntil.After(latest) {
			w.health.ejectedUntil = latest
		}
		w.health.restsSince = w.health.ejectedUntil.Add(-w.health.ejectedFor)
	}
	w.healthOf = h.StartedAt
	for _, id := range h.Failed {
		j := p.jobs[id]
		if j == nil {
			continue
		}
		if w.health.failed == nil {
			w.health.failed = make(map[*jobState]bool)
		}
		w.health.failed[j] = true
		if slices.Contains(h.Only, id) {
			j.noteFailedOn(w.info.ID)
		}
	}
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("jobs", len(w.health.failed)).Bool("on_trial", w.health.onTrial).
		Time("until", w.health.ejectedUntil).Msg("health of a worker restored")
}

// carryOver returns what a worker's health tells of its next incarnation, which has to show that it
// works but is not ejected: the fault may have ended with the restart.
func (h health) carryOver() health {
	h.ejectedUntil = time.Time{}
	return h
}
