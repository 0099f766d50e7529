// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Bounds of the writer. The log accepts about 100 appends a second from all entries together. Each
// entry appends without delay while the log accepts it, halves its rate when the log refuses an
// append, and increases it step by step afterwards.
const (
	maxAppendRate  = 90 // per second, by one entry alone
	minAppendRate  = 0.5
	appendRateStep = 0.5 // added to the rate by each accepted append
	appendBurst    = 4
	appendTimeout  = 5 * time.Second
	appendPause    = 50 * time.Millisecond
	readBackPause  = 500 * time.Millisecond
	maxBatch       = 512
	maxBatchBytes  = 256 << 10
	maxBacklog     = 4096 // records
	bytesPerRecord = 64   // estimate, in addition to a record's variable parts
)

// Proposal is a group of records that one append puts on the log.
type Proposal struct {
	Records []record.Record
	// OnLateVerdicts is called if Propose has given up and the outcome becomes known afterwards; it
	// may be nil.
	OnLateVerdicts func([]state.Verdict)
	// OnSend is called before the append with the position of the batch that contains the records;
	// it may be nil and must not block.
	OnSend func(m state.Position)
}

// waiting is a pending proposal; Ledger.mu guards it.
type waiting struct {
	Proposal
	done      chan struct{} // closed once verdicts or lost are set
	verdicts  []state.Verdict
	lost      bool // the batch was folded, but its verdicts are not known
	abandoned bool // the caller no longer waits
	sent      bool
}

// writer holds the pending proposals; Ledger.mu guards it.
type writer struct {
	queue    []*waiting
	queued   int // records
	flight   []*waiting
	sequence uint64        // of the batch in flight, or of the last one
	settled  chan struct{} // closed once the batch in flight is decided; nil if there is none
	wakeUp   chan struct{} // closed when the queue grows; nil without a waiting goroutine
}

// decide passes the verdicts of a batch to its proposals.
func (w *writer) decide(sequence uint64, verdicts []state.Verdict) {
	if w.settled == nil || sequence != w.sequence {
		return
	}
	for _, p := range w.flight {
		n := len(p.Records)
		p.verdicts = verdicts[:n]
		verdicts = verdicts[n:]
		w.finish(p)
	}
	w.endFlight()
}

// skipTo gives up on the verdicts of the batch in flight if the state contains it but this process
// has not folded it: the state came from a snapshot or a peer.
func (w *writer) skipTo(sequence uint64) {
	if w.settled == nil || sequence < w.sequence {
		return
	}
	for _, p := range w.flight {
		p.lost = true
		w.finish(p)
	}
	w.endFlight()
}

func (w *writer) finish(p *waiting) {
	if p.abandoned && p.OnLateVerdicts != nil && !p.lost {
		go p.run()
		return
	}
	close(p.done)
}

// run reports the late verdicts without holding a lock.
func (p *waiting) run() { p.OnLateVerdicts(p.verdicts) }

func (w *writer) endFlight() {
	w.flight = nil
	close(w.settled)
	w.settled = nil
}

// Propose puts records on the log and returns the fold's verdict on each. An error of kind
// LogUnavailable, Overloaded or Stopping means that nothing was or will be proposed; OutcomeUnknown
// means that it may have been.
func (l *Ledger) Propose(ctx context.Context, p Proposal) ([]state.Verdict, error) {
	q, err := l.enqueue(p)
	if err != nil {
		return nil, err
	}
	select {
	case <-q.done:
	case <-ctx.Done():
		if err := l.abandon(q); err != nil {
			return nil, err
		}
	}
	if q.lost {
		return nil, errkind.New(errkind.OutcomeUnknown, "the batch is in a state that was loaded from a snapshot or a peer; its verdicts are not known")
	}
	return q.verdicts, nil
}

// ProposeOne proposes a single record and returns its verdict or the error.
func (l *Ledger) ProposeOne(ctx context.Context, r record.Record) error {
	return l.ProposeNotify(ctx, r, nil)
}

// ProposeNotify is ProposeOne with a callback: before the append it calls sent with the position of
// the batch that contains the record; sent may be nil and must not block.
func (l *Ledger) ProposeNotify(ctx context.Context, r record.Record, sent func(state.Position)) error {
	verdicts, err := l.Propose(ctx, Proposal{Records: []record.Record{r}, OnSend: sent})
	if err != nil {
		return err
	}
	return verdicts[0]
}

func (l *Ledger) enqueue(p Proposal) (*waiting, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer.queued+len(p.Records) > maxBacklog {
		return nil, errkind.New(errkind.Overloaded, "%d records are queued for the log, which is the maximum", maxBacklog)
	}
	q := &waiting{Proposal: p, done: make(chan struct{})}
	l.writer.queue = append(l.writer.queue, q)
	l.writer.queued += len(p.Records)
	if l.writer.wakeUp != nil {
		close(l.writer.wakeUp)
		l.writer.wakeUp = nil
	}
	return q, nil
}

// abandon stops waiting. It returns nil if the outcome became known in the meantime.
func (l *Ledger) abandon(q *waiting) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-q.done:
		return nil
	default:
	}
	q.abandoned = true
	if q.sent {
		return errkind.New(errkind.OutcomeUnknown, "the log did not respond in time")
	}
	for i, o := range l.writer.queue {
		if o == q {
			l.writer.queue = append(l.writer.queue[:i], l.writer.queue[i+1:]...)
			l.writer.queued -= len(q.Records)
			break
		}
	}
	return errkind.New(errkind.LogUnavailable, "the log did not accept the records in time; nothing was proposed")
}

// Backlog returns how many records are queued for the log.
func (l *Ledger) Backlog() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writer.queued
}

// waitForWork returns true once something is queued.
func (l *Ledger) waitForWork(ctx context.Context) bool {
	for {
		l.mu.Lock()
		if len(l.writer.queue) > 0 {
			l.mu.Unlock()
			return true
		}
		if l.writer.wakeUp == nil {
			l.writer.wakeUp = make(chan struct{})
		}
		wakeUp := l.writer.wakeUp
		l.mu.Unlock()
		select {
		case <-wakeUp:
		case <-ctx.Done():
			return false
		}
	}
}

// nextBatch moves proposals from the queue into a new batch in flight.
func (l *Ledger) nextBatch() (record.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.writer
	w.sequence++
	w.settled = make(chan struct{})
	b := record.Batch{Schema: record.Schema, Writer: l.Name, Incarnation: l.Incarnation, Sequence: w.sequence}
	bytes := 0
	for len(w.queue) > 0 {
		p := w.queue[0]
		size := sizeOf(p.Records)
		if len(b.Records) > 0 && (len(b.Records)+len(p.Records) > maxBatch || bytes+size > maxBatchBytes) {
			break
		}
		bytes += size
		p.sent = true
		w.queue = w.queue[1:]
		w.queued -= len(p.Records)
		w.flight = append(w.flight, p)
		b.Records = append(b.Records, p.Records...)
	}
	return b, w.settled
}

// notifySent calls OnSend of the proposals in flight with the position of their batch.
func (l *Ledger) notifySent(b record.Batch) {
	l.mu.Lock()
	flight := l.writer.flight
	l.mu.Unlock()
	for _, p := range flight {
		if p.OnSend != nil {
			p.OnSend(state.Position{Writer: b.Writer, Incarnation: b.Incarnation, Sequence: b.Sequence})
		}
	}
}

// sizeOf estimates the encoded size of records. Only a few kinds of records are large.
func sizeOf(records []record.Record) int {
	size := 0
	for _, r := range records {
		size += bytesPerRecord
		switch {
		case r.Snapshot != nil:
			size += len(r.Snapshot.Data)
		case r.Result != nil && r.Result.Reply != nil:
			size += len(r.Result.Reply.Body)
		}
	}
	return size
}

// Join adds this process to the membership; it must be the first proposal.
func (l *Ledger) Join(ctx context.Context) error {
	err := l.ProposeOne(ctx, record.Record{Join: &record.Join{Address: l.Address, DataCenter: l.DataCenter}})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = true
	return nil
}

// Run reads and appends to the log until the context ends.
func (l *Ledger) Run(ctx context.Context) {
	a := appender{ledger: l, rate: maxAppendRate, limiter: rate.NewLimiter(maxAppendRate, appendBurst)}
	go a.run(ctx)
	l.run(ctx)
}
