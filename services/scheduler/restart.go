// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// A worker may start again under its id. It then has none of the runs, ends, tickets and
// tokens of before, and its clock and the numbers of its ends begin anew, while answers to
// orders, and the id that an order names, do not tell one start from another. Only a list of
// runs tells which start has answered: looks follow one another, so the newest is right, and
// an entry in the platform's list, which may be late, only has the worker looked at. Times of
// day may be set back, so that a smaller start is not an older one.
//
// What was sent to the start before may still be carried out by the next one. So once a
// worker may have started again, the token of its orders is raised, and nothing else is sent
// until a look with that token was answered: from then on the start that has answered refuses
// all that was sent before, and what it neither lists nor has ended is over. An order that
// got no answer has the token raised too, since it may be carried out seconds later.

// raiseBits is how many bits of an order's token count how often it was raised; those above
// are the epoch of the pool's owner.
const raiseBits = 20

// token returns the token of an order to a worker.
func (p *Pool) token(w *workerState) uint64 { return p.Token<<raiseBits | w.raised }

// life returns which start of the worker has answered last.
func (w *workerState) life() worker.Incarnation {
	return worker.Incarnation{ID: w.info.ID, StartedAt: w.born}
}

// raise has a worker refuse what was sent to it until now, once something was sent that it
// takes: another start of it would carry that out.
func (p *Pool) raise(w *workerState) {
	if w.born == 0 {
		return
	}
	if p.raised < 1<<raiseBits-1 {
		p.raised++
	}
	w.raised = p.raised
}

// suspectRestart has a worker looked at which may have started again; until it has answered it
// gets no orders.
func (p *Pool) suspectRestart(w *workerState) {
	if w.born == 0 || w.unproven {
		return
	}
	p.raise(w)
	w.since, w.unproven, w.wantLook = w.raised, true, true
}

// restarted takes the list of another start than the one that has answered last. It returns
// the state of the worker to go on with, nil where the worker must be looked at once more.
func (p *Pool) restarted(w *workerState, k Poll, listing worker.PollResult, now time.Time) *workerState {
	if w.met && !(w.unproven && k.raised >= w.since) {
		p.suspectRestart(w)
		return nil
	}
	n := p.newWorker(w.info)
	n.info.Draining, n.info.Remaining = false, 0
	n.listed, n.must, n.cordonIn = w.listed, w.must, w.cordonIn
	n.info.Address = w.address()
	if w.hint != nil && w.hint.StartedAt == listing.StartedAt {
		n.info, n.listed = *w.hint, true
	}
	n.born, n.checked, n.raised, n.since = listing.StartedAt, w.born, w.raised, w.since
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int64("born", listing.StartedAt).Int64("born_before", w.born).
		Int("runs_before", len(w.runs)).Int("runs", len(listing.Runs)).Int("ends", len(listing.Ends)).Int("sequence_before", w.seen).
		Bool("met", w.met).Uint64("token", p.token(n)).Msg("a worker has started again")
	p.count(workerRestarted)
	p.takeOver(w, n, listing, now)
	p.lifeOver(w, now, endedItself, "it has started again")
	p.workers[n.info.ID] = n
	p.compare(n)
	p.reconnect(n)
	return n
}

// takeOver has runs go on at a worker's next start that it lists: an order for them was
// carried out by that one.
func (p *Pool) takeOver(w, n *workerState, listing worker.PollResult, now time.Time) {
	take := func(name string, number int) {
		u := w.runs[name]
		if u == nil || u.number != number || !u.sent && !u.restored {
			return
		}
		p.release(u)
		next := &run{
			job: u.job, ref: u.ref, name: u.name, number: u.number, at: n, room: u.room, phase: ordered, restored: true,
			pace: fullPace, moved: now, stopping: u.stopping, suspected: u.suspected,
		}
		p.attach(next)
		if next.stopping {
			p.stops = append(p.stops, next)
		}
	}
	for _, r := range listing.Runs {
		take(r.Task, r.Number)
	}
	for _, e := range listing.Ends {
		take(e.Task, e.Number)
	}
}

// reconnect has a worker reached anew.
func (p *Pool) reconnect(w *workerState) {
	if !slices.Contains(p.relink, w.info.ID) {
		p.relink = append(p.relink, w.info.ID)
	}
}

// WorkersToReconnect returns the workers that have started again, or have another address, since it was
// last asked for: what they are reached through is of no use any more.
func (p *Pool) WorkersToReconnect() []worker.ID {
	ids := p.relink
	p.relink = nil
	return ids
}

// seeStart takes an entry's word for a worker's start, and reports whether the entry tells of
// the worker as it is known.
func (p *Pool) seeStart(w *workerState, info worker.Worker) bool {
	if !w.met || w.born == 0 || info.StartedAt == w.born {
		return true
	}
	if info.StartedAt == 0 {
		return false
	}
	w.hint, w.listed, w.lingers = &info, true, false
	if info.StartedAt != w.checked {
		p.reachAt(w, true)
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Int64("born", info.StartedAt).Int64("born_before", w.born).
			Uint64("revision", info.Revision).Msg("a worker is listed with another start")
		p.suspectRestart(w)
		p.attend(w)
	}
	return false
}

// proven notes that a worker has answered as the start that was known.
func (p *Pool) proven(w *workerState) {
	if !w.unproven {
		return
	}
	w.unproven = false
	if w.hint != nil {
		w.checked = w.hint.StartedAt
		p.reachAt(w, false)
	}
	p.moved = true
}

// address returns where a worker is reached.
func (w *workerState) address() string {
	if w.atHint {
		return w.hint.Address
	}
	return w.info.Address
}

// reachAt has a worker reached at the address of the entry that tells of another start, or at
// the one it has answered from.
func (p *Pool) reachAt(w *workerState, hint bool) {
	before := w.address()
	if w.atHint = hint && w.hint != nil; w.address() != before {
		p.reconnect(w)
	}
}

// tryElsewhere has the next look at a worker that may have started again go to its other
// address, where it has two. It reports whether the answer of another worker has come from the
// address of an entry, which tells nothing of the start that is known.
func (p *Pool) tryElsewhere(w *workerState, v port.Result) bool {
	if !w.unproven || w.hint == nil {
		return false
	}
	foreign := w.atHint && v == port.OtherIncarnation
	p.reachAt(w, !w.atHint)
	if foreign {
		w.checked, w.hint, w.wantLook = w.hint.StartedAt, nil, true
	}
	return foreign
}

// judgeLives takes what the first answer of a worker tells of the crashes that are held under
// its id: the start that answers was only cut off, and others are over.
func (p *Pool) judgeLives(w *workerState) {
	for life := range p.blamed {
		switch {
		case life.ID != w.info.ID:
		case life.StartedAt == 0 || life.StartedAt == w.born:
			p.acquit(life)
		default:
			p.confirm(life)
		}
	}
}

// forgetWithin is how old a worker's newest list of runs may be for a look to have it forget
// ends: another start of it would forget its own, which nobody has read. A run of that one
// must have begun and ended since the list for this to do harm.
const forgetWithin = 250 * time.Millisecond

// mayForget reports whether a look may have a worker forget the ends that are kept. One look
// in two may at least, so that ends are forgotten whatever a look takes.
func (w *workerState) mayForget(now time.Time) bool {
	return w.withheld || len(w.runs) == 0 || now.Sub(w.listedAt) <= forgetWithin
}

// keyStart begins the keys under which it is kept which start of a worker has the pool's runs;
// the worker's name follows.
const keyStart = "b/"

// addStarts puts into the batch which starts of workers have runs, where that has changed.
func (p *Pool) addStarts(b *Batch) error {
	for _, id := range p.left {
		if _, kept := p.starts[id]; kept && p.workers[id] == nil {
			delete(p.starts, id)
			b.Records = append(b.Records, port.Record{Key: keyStart + string(id)})
		}
	}
	p.left = nil
	for id, w := range p.workers {
		if w.born == 0 || len(w.runs) == 0 || p.starts[id] == w.born {
			continue
		}
		data, err := codec.Marshal(w.born)
		if err != nil {
			return err
		}
		p.starts[id] = w.born
		b.Records = append(b.Records, port.Record{Key: keyStart + string(id), Value: data})
	}
	return nil
}

// restoreStarts takes over which starts of workers an earlier owner's runs are at.
func (p *Pool) restoreStarts(records []port.Record) error {
	for _, r := range records {
		id, isStart := strings.CutPrefix(r.Key, keyStart)
		if !isStart || len(r.Value) == 0 {
			continue
		}
		var born int64
		if err := codec.Unmarshal(r.Value, &born); err != nil {
			return errors.Annotatef(err, "start of worker %s", id)
		}
		p.starts[worker.ID(id)] = born
	}
	return nil
}
