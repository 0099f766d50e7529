// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// A worker may restart under the same ID. It then has none of its earlier runs, ends, tickets and
// tokens, and its clock and the numbers of its ends start anew, while responses to orders, and the
// ID in an order, do not distinguish incarnations. Only a list of runs shows which incarnation has
// responded: polls are sequential, so the newest list is right, while an entry in the platform's
// list may be late and only causes a poll. Times of day may be set back, so a smaller start time
// does not mean an older incarnation.
//
// So an order states the incarnation that it is for, and the link sends it over a connection that
// reaches no other one: the next one would cut its deadline, which is on another clock, to the longest
// lease, and the owner would take the lease to have ended long before.
//
// Where connections show no incarnation, orders sent to an earlier one may still be carried out by the
// next one. So once a worker may have restarted, the token of its orders is raised, and only polls are
// sent until a poll with that token gets a response: from then on the responding incarnation refuses
// all earlier orders, and any run is over that it neither lists as running nor as ended. An order
// without a response raises the token too, since it may be carried out seconds later.

// tokenRaiseBits is the number of bits of an order's token that count its raises; the bits above
// are the epoch of the pool's owner.
const tokenRaiseBits = 20

// token returns the token of an order to a worker.
func (p *Pool) token(w *workerState) uint64 { return p.Token<<tokenRaiseBits | w.tokenRaises }

// incarnation returns the incarnation of the worker that responded last.
func (w *workerState) incarnation() worker.Incarnation {
	return worker.Incarnation{ID: w.info.ID, StartedAt: w.startedAt}
}

// raiseToken makes a worker refuse all orders sent until now, as soon as it accepts one with the
// new token: otherwise another incarnation could carry them out.
func (p *Pool) raiseToken(w *workerState) {
	if w.startedAt == 0 {
		return
	}
	if p.tokenRaises < 1<<tokenRaiseBits-1 {
		p.tokenRaises++
	}
	w.tokenRaises = p.tokenRaises
}

// suspectRestart requests a poll of a worker that may have restarted; it gets no orders until it
// has responded.
func (p *Pool) suspectRestart(w *workerState) {
	if w.startedAt == 0 || w.restartSuspected {
		return
	}
	p.raiseToken(w)
	w.provenFromRaises, w.restartSuspected, w.pollWanted = w.tokenRaises, true, true
}

// handleRestart processes a list of runs from another incarnation than the one that responded last.
// It returns the worker state to continue with, nil if the worker must be polled once more.
func (p *Pool) handleRestart(w *workerState, k Poll, listing worker.PollResult, now time.Time) *workerState {
	if w.hasResponded && !(w.restartSuspected && k.tokenRaises >= w.provenFromRaises) {
		p.suspectRestart(w)
		return nil
	}
	n := p.newWorker(w.info)
	n.info.Draining, n.info.Remaining = false, 0
	n.info.WarmUp, n.info.ColdSince, n.info.WarmAt = 0, time.Time{}, time.Time{}
	n.listed, n.maintenanceSince, n.cordonBatch = w.listed, w.maintenanceSince, w.cordonBatch
	n.info.Address = w.address()
	if w.otherEntry != nil && w.otherEntry.StartedAt == listing.StartedAt {
		n.info, n.listed = *w.otherEntry, true
	}
	n.startedAt, n.checkedStart, n.tokenRaises, n.provenFromRaises = listing.StartedAt, w.startedAt, w.tokenRaises, w.provenFromRaises
	n.health = w.health.carryOver()
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int64("born", listing.StartedAt).Int64("born_before", w.startedAt).
		Int("runs_before", len(w.runs)).Int("runs", len(listing.Runs)).Int("ends", len(listing.Ends)).Int("sequence_before", w.lastEnd).
		Bool("met", w.hasResponded).Uint64("token", p.token(n)).Msg("worker restarted")
	p.increment(workerRestarted)
	p.adoptRuns(w, n, listing, now)
	p.endIncarnation(w, now, exitConfirmed, "it has restarted")
	p.workers[n.info.ID] = n
	p.pollIncarnations(n)
	p.markReconnect(n)
	return n
}

// adoptRuns moves those runs to a worker's next incarnation that this one lists: it has carried out
// their orders. If its list is truncated it may have carried out any order that was sent, so all
// those runs are moved, and a complete list shows which have ended.
func (p *Pool) adoptRuns(w, n *workerState, listing worker.PollResult, now time.Time) {
	adopt := func(name string, number int) {
		u := w.runs[name]
		if u == nil || u.number != number || !u.sent && !u.restored {
			return
		}
		p.release(u)
		if u.seenRunning {
			p.markRunningChanged(u.job) // it has started anew
		}
		next := &run{
			job: u.job, of: u.of, state: u.of.task(u.ref.Index), ref: u.ref, name: u.name, number: u.number, worker: n, size: u.size, phase: ordered, restored: true,
			cpuShare: fullPercent, progressedAt: now, stopping: u.stopping, suspected: u.suspected,
		}
		p.attach(next)
		if next.stopping {
			p.pendingStops = append(p.pendingStops, next)
		}
	}
	for _, r := range listing.Runs {
		adopt(r.Task, r.Number)
	}
	for _, e := range listing.Ends {
		adopt(e.Task, e.Number)
	}
	if !listing.Truncated {
		return
	}
	for name, u := range w.runs {
		adopt(name, u.number)
	}
}

// markReconnect requests a new connection to a worker.
func (p *Pool) markReconnect(w *workerState) {
	if !slices.Contains(p.toReconnect, w.info.ID) {
		p.toReconnect = append(p.toReconnect, w.info.ID)
	}
}

// WorkersToReconnect returns the workers that have restarted or changed their address since the
// last call: connections to them are of no use any more.
func (p *Pool) WorkersToReconnect() []worker.ID {
	ids := p.toReconnect
	p.toReconnect = nil
	return ids
}

// checkStart checks the start time in an entry of a worker, and reports whether the entry describes
// the known incarnation.
func (p *Pool) checkStart(w *workerState, info worker.Worker) bool {
	if !w.hasResponded || w.startedAt == 0 || info.StartedAt == w.startedAt {
		return true
	}
	if info.StartedAt == 0 {
		return false
	}
	w.otherEntry, w.listed, w.respondedUnlisted = &info, true, false
	if info.StartedAt != w.checkedStart {
		p.useAddress(w, true)
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Int64("born", info.StartedAt).Int64("born_before", w.startedAt).
			Uint64("revision", info.Revision).Msg("worker listed with another start time")
		p.suspectRestart(w)
		p.markPending(w)
	}
	return false
}

// confirmIncarnation records that a worker responded as the known incarnation.
func (p *Pool) confirmIncarnation(w *workerState) {
	if !w.restartSuspected {
		return
	}
	w.restartSuspected = false
	if w.otherEntry != nil {
		w.checkedStart = w.otherEntry.StartedAt
		p.useAddress(w, false)
	}
	p.needsPlan = true
}

// address returns the address at which a worker is contacted.
func (w *workerState) address() string {
	if w.atOtherEntry {
		return w.otherEntry.Address
	}
	return w.info.Address
}

// useAddress selects the address at which a worker is contacted: that of the entry with another
// start time, or the one it has responded from.
func (p *Pool) useAddress(w *workerState, other bool) {
	previous := w.address()
	if w.atOtherEntry = other && w.otherEntry != nil; w.address() != previous {
		p.markReconnect(w)
	}
}

// tryOtherAddress sends the next poll of a worker that may have restarted to its other address, if
// it has two. It reports whether another worker responded at the address of an entry, which shows
// nothing about the known incarnation.
func (p *Pool) tryOtherAddress(w *workerState, v port.Result) bool {
	if !w.restartSuspected || w.otherEntry == nil {
		return false
	}
	foreign := w.atOtherEntry && v == port.OtherIncarnation
	p.useAddress(w, !w.atOtherEntry)
	if foreign {
		w.checkedStart, w.otherEntry, w.pollWanted = w.otherEntry.StartedAt, nil, true
	}
	return foreign
}

// isForeign reports whether another worker responded at an address where this one never has. An entry may
// name a wrong address, so that shows nothing about this worker, which is contacted where it was before.
func (p *Pool) isForeign(w *workerState, sentTo string, v port.Result) bool {
	if v != port.OtherIncarnation || w.provenAddress == "" || sentTo == w.provenAddress {
		return false
	}
	w.pollWanted = true
	if w.info.Address == sentTo {
		p.Logger.Error().Str("event", "worker").Str("worker", string(w.info.ID)).Str("address", sentTo).Str("used", w.provenAddress).
			Uint64("revision", w.info.Revision).Str("outcome", "not used").Msg("another worker responds at the address in a worker entry")
		w.foreignAddress, w.info.Address = sentTo, w.provenAddress
		p.markReconnect(w)
		p.markPending(w)
	}
	return true
}

// resolveCrashes applies the first response of a worker to the crashes attributed under its ID: the
// responding incarnation was only cut off, all others have crashed.
func (p *Pool) resolveCrashes(w *workerState) {
	for incarnation := range p.attributed {
		switch {
		case incarnation.ID != w.info.ID:
		case incarnation.StartedAt == 0 || incarnation.StartedAt == w.startedAt:
			p.clearCrash(incarnation)
		default:
			p.confirmCrash(incarnation)
		}
	}
}

// clockRestartGap is how far a worker's clock must be behind that in its last list to have started anew.
const clockRestartGap = time.Second

// clockStartedAnew reports whether the clock in a list of runs shows that another incarnation has responded, which has
// started in the same millisecond by its machine's time of day.
func (w *workerState) clockStartedAnew(clock time.Duration) bool {
	return w.hasResponded && clock > 0 && clock+clockRestartGap < w.listedClock
}

// Nor does an acknowledgement or a deadline name an incarnation; a later one would cut a deadline on the clock of an
// earlier one to the longest lease. Both are sent over the connection that carried the newest list only, which reaches no
// later incarnation; what is lost with its connection is sent again after the next list. The checks below remain for a
// link that does not tell its connections, and for a worker that keeps none: such a worker gets no orders and no deadlines.

// maxLostPolls is how many polls in a row may lose their deadlines and acknowledgements with their connections before one
// carries the acknowledgement alone over any connection: the worker keeps none open, and would never learn which ends are
// persisted.
const maxLostPolls = 10

// noteDelivered records what a poll has acknowledged to the known incarnation. A deadline that was not delivered is sent
// again at once.
func (w *workerState) noteDelivered(request port.Poll, listing worker.PollResult) {
	if request.Connection != 0 && request.Connection != listing.Connection {
		w.lostPolls++
		w.pollWanted = w.pollWanted || request.Deadline > 0
		return
	}
	w.acknowledgedEnd = max(w.acknowledgedEnd, request.Acknowledged)
	if request.Connection != 0 {
		w.lostPolls = 0
	}
}

// listingFreshFor is the maximum age of a worker's newest list of runs for a poll to acknowledge
// ends: another incarnation would discard its own ends, which nobody has read. To cause harm, a run
// of that incarnation must have started and ended since the list.
const listingFreshFor = 250 * time.Millisecond

// mayAcknowledge reports whether a poll may tell a worker to discard the ends that are persisted.
// At least every second poll may, so that ends are discarded however long polls take.
func (w *workerState) mayAcknowledge(now time.Time) bool {
	return w.ackWithheld || len(w.runs) == 0 || now.Sub(w.listedAt) <= listingFreshFor
}

// keyStart is the prefix of the keys for the start times of workers with runs; the worker's name
// follows.
const keyStart = "b/"

// addStarts adds changed start times of workers with runs to the batch.
func (p *Pool) addStarts(b *Batch) error {
	for _, id := range p.removedWorkers {
		if _, persisted := p.persistedStarts[id]; persisted && p.workers[id] == nil {
			delete(p.persistedStarts, id)
			b.Records = append(b.Records, port.Record{Key: keyStart + string(id)})
		}
	}
	p.removedWorkers = nil
	for id, w := range p.workers {
		if w.startedAt == 0 || len(w.runs) == 0 || p.persistedStarts[id] == w.startedAt {
			continue
		}
		data, err := codec.Marshal(w.startedAt)
		if err != nil {
			return err
		}
		p.persistedStarts[id] = w.startedAt
		b.Records = append(b.Records, port.Record{Key: keyStart + string(id), Value: data})
	}
	return nil
}

// restoreStarts restores the start times of the workers that have runs of an earlier owner.
func (p *Pool) restoreStarts(records []port.Record) error {
	return eachRecord(records, keyStart, "start time of worker", func(id string, startedAt int64) error {
		p.persistedStarts[worker.ID(id)] = startedAt
		return nil
	})
}
