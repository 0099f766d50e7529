// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// A new owner assumes that runs on a worker that does not respond may hold leases which the owner before
// extended until it noticed that it was replaced. It waits until these have expired, and extends none itself
// before the worker responds. If owners change more often than that, each of them would wait anew, and the
// runs' tasks, and the capacity and the customers' limits that they use, would be blocked for as long. So an
// owner persists for how long such a worker has not responded, and its successor waits for the rest.
//
// While the record names a worker, no lease is extended there, since the successor counts on that: neither by
// a poll nor by an order to start a run. Once the worker has responded, the record is written without it first.

// keySilent is the key of the record of workers that do not respond.
const keySilent = "u/"

const (
	// silentAfter is after how long a worker is recorded that has not responded, to this owner and those
	// before it.
	silentAfter = time.Second
	// silentInterval is the time between two records while workers do not respond, unless a batch is
	// appended anyway.
	silentInterval = 500 * time.Millisecond
)

// silentRecord is the persisted form of the workers that have not responded to an owner.
type silentRecord struct {
	Epoch   uint64              `cbor:"1,keyasint"` // of the owner
	Workers map[worker.ID]int64 `cbor:"2,keyasint"` // for how long no lease was extended there, in milliseconds
}

// silence is what a pool has recorded of workers that do not respond.
type silence struct {
	restoredAt time.Time
	inherited  map[worker.ID]time.Duration // by earlier owners
	recorded   map[worker.ID]bool          // named in the record, as persisted or in a batch in progress
	writtenAt  time.Time                   // when it was last added to a batch
	kept       bool                        // an earlier owner's record is persisted
}

// silentWorkers returns for how long no lease has been extended on the workers that have not responded since
// the restore.
func (p *Pool) silentWorkers(now time.Time) map[worker.ID]int64 {
	if p.silence.restoredAt.IsZero() || !p.Published {
		return nil
	}
	list := make(map[worker.ID]int64)
	for id, w := range p.workers {
		silent := p.silence.inherited[id] + now.Sub(p.silence.restoredAt)
		if !w.hasResponded && silent >= silentAfter && w.hasRestoredRuns() {
			list[id] = silent.Milliseconds()
		}
	}
	return list
}

// hasRestoredRuns reports whether a worker has runs of an earlier owner.
func (w *workerState) hasRestoredRuns() bool {
	for _, u := range w.runs {
		if u.restored {
			return true
		}
	}
	return false
}

// addSilent adds the record of workers that do not respond to the batch: at once after a restore, as an owner may
// be replaced within a second, and if one of them has responded or is gone; otherwise as often as the successor
// may need it.
func (p *Pool) addSilent(b *Batch) error {
	s, now := &p.silence, p.plannedAt
	list := p.silentWorkers(now)
	if !s.isDue(list, len(b.Records) > 0, now) {
		return nil
	}
	record := port.Record{Key: keySilent}
	if len(list) > 0 {
		data, err := codec.Marshal(silentRecord{Epoch: p.Token, Workers: list})
		if err != nil {
			return err
		}
		record.Value = data
	}
	b.Records, b.silent, b.hasSilent = append(b.Records, record), list, true
	s.writtenAt, s.kept = now, false
	for id := range list {
		p.setRecorded(id, true)
	}
	return nil
}

// isDue reports whether the record is to be written, with a list of workers.
func (s *silence) isDue(list map[worker.ID]int64, batchHasRecords bool, now time.Time) bool {
	for id := range s.recorded {
		if _, silent := list[id]; !silent {
			return true
		}
	}
	if batchHasRecords {
		return len(list) > 0 || s.kept
	}
	return len(list) > 0 && now.Sub(s.writtenAt) >= silentInterval
}

// setRecorded notes whether the record names a worker.
func (p *Pool) setRecorded(id worker.ID, recorded bool) {
	if recorded {
		p.silence.recorded[id] = true
	} else {
		delete(p.silence.recorded, id)
	}
	if w := p.workers[id]; w != nil {
		w.leaseRecorded = recorded
	}
}

// noteSilentPersisted applies a persisted record: leases of the workers that it no longer names may be extended.
func (p *Pool) noteSilentPersisted(b *Batch) {
	if !b.hasSilent {
		return
	}
	for id := range p.silence.recorded {
		if _, silent := b.silent[id]; !silent {
			p.setRecorded(id, false)
			p.needsPlan = true
		}
	}
}

// scheduleSilent schedules the plan after which the record is due.
func (p *Pool) scheduleSilent(now time.Time) {
	if p.silence.restoredAt.IsZero() {
		return
	}
	for _, w := range p.workers {
		if !w.hasResponded && w.hasRestoredRuns() {
			p.schedulePlan(latest(p.silence.restoredAt.Add(silentAfter), now.Add(silentInterval)), now)
			return
		}
	}
}

// restoreSilent shortens the wait for runs on workers that have not responded to the owner before either. A
// record of an owner before that one is of no use: the last one may have extended leases since.
func (p *Pool) restoreSilent(records []port.Record, now time.Time, reserveFor time.Duration) error {
	p.silence = silence{restoredAt: now, inherited: make(map[worker.ID]time.Duration), recorded: make(map[worker.ID]bool)}
	return eachRecord(records, keySilent, "workers that do not respond", func(_ string, r silentRecord) error {
		p.silence.kept = true
		if r.Epoch+1 != p.Token {
			return nil
		}
		for id, ms := range r.Workers {
			w := p.workers[id]
			if w == nil || len(w.runs) == 0 {
				continue
			}
			silent := time.Duration(ms) * time.Millisecond
			p.silence.inherited[id] = silent
			w.restoredRunsEndAt = now.Add(max(reserveFor-time.Duration(float64(silent)*(1-maxClockDrift)), 0))
			p.Logger.Info().Str("event", "worker").Str("worker", string(id)).Int("runs", len(w.runs)).Dur("silent", silent).
				Time("lapses", w.restoredRunsEndAt).Msg("worker did not respond to the owner before")
		}
		return nil
	})
}
