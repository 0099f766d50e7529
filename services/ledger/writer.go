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

// Bounds of the writer. The log takes about 100 appends a second from all
// entries together. Each entry writes at once while the log takes it, halves
// its rate when the log refuses, and regains it step by step.
const (
	appendsMost    = 90 // a second, alone
	appendsLeast   = 0.5
	appendsRegain  = 0.5 // added to the rate by each append that was taken
	appendBurst    = 4
	appendTimeout  = 5 * time.Second
	appendPause    = 50 * time.Millisecond
	readBackPause  = 500 * time.Millisecond
	maxBatch       = 512
	maxBatchBytes  = 256 << 10
	maxBacklog     = 4096 // records
	bytesPerRecord = 64   // about, beside what a record carries
)

// Proposal is a group of records that goes on the log in one append.
type Proposal struct {
	Records []record.Record
	// OnLateVerdicts is called where Propose has given up and the outcome is known
	// after all; it may be nil.
	OnLateVerdicts func([]state.Verdict)
	// OnSend is told, before the append, which batch the records are in; it may
	// be nil and must not block.
	OnSend func(m state.Position)
}

// waiting is a proposal on its way; Ledger.mu guards it.
type waiting struct {
	Proposal
	done      chan struct{} // closed once verdicts or failure are set
	verdicts  []state.Verdict
	lost      bool // the batch was folded, but its verdicts were not seen
	abandoned bool // nobody waits any more
	sent      bool
}

// writer holds the proposals on their way; Ledger.mu guards it.
type writer struct {
	queue    []*waiting
	queued   int // records
	flight   []*waiting
	sequence uint64        // of the batch in flight, or of the last one
	settled  chan struct{} // closed once the batch in flight is decided; nil without one
	awake    chan struct{} // closed when the queue grows; nil until somebody waits
}

// decide hands the verdicts of a batch to the proposals in it.
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

// skipTo gives up on the verdicts of a batch that was folded out of sight.
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

// run tells the late outcome without holding any lock.
func (p *waiting) run() { p.OnLateVerdicts(p.verdicts) }

func (w *writer) endFlight() {
	w.flight = nil
	close(w.settled)
	w.settled = nil
}

// Propose puts records on the log and returns the fold's verdict on each. An
// error of kind LogUnavailable, Overloaded or Stopping means that nothing was
// and will be proposed; OutcomeUnknown leaves it open.
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
		return nil, errkind.New(errkind.OutcomeUnknown, "the log has moved on before the verdict was read")
	}
	return q.verdicts, nil
}

// ProposeOne proposes a single record and returns its verdict or the error.
func (l *Ledger) ProposeOne(ctx context.Context, r record.Record) error {
	return l.ProposeNotify(ctx, r, nil)
}

// ProposeNotify is ProposeOne that tells, before the append, which batch the
// record is in; sent may be nil and must not block.
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
		return nil, errkind.New(errkind.Overloaded, "%d records wait for the log, the most allowed", maxBacklog)
	}
	q := &waiting{Proposal: p, done: make(chan struct{})}
	l.writer.queue = append(l.writer.queue, q)
	l.writer.queued += len(p.Records)
	if l.writer.awake != nil {
		close(l.writer.awake)
		l.writer.awake = nil
	}
	return q, nil
}

// abandon stops waiting; it returns nil where the outcome became known at the
// last moment.
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
		return errkind.New(errkind.OutcomeUnknown, "the log has not answered in time")
	}
	for i, o := range l.writer.queue {
		if o == q {
			l.writer.queue = append(l.writer.queue[:i], l.writer.queue[i+1:]...)
			l.writer.queued -= len(q.Records)
			break
		}
	}
	return errkind.New(errkind.LogUnavailable, "the log could not be written in time")
}

// Backlog returns how many records wait for the log.
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
		if l.writer.awake == nil {
			l.writer.awake = make(chan struct{})
		}
		awake := l.writer.awake
		l.mu.Unlock()
		select {
		case <-awake:
		case <-ctx.Done():
			return false
		}
	}
}

// nextBatch takes proposals off the queue and puts them in flight.
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

// tellSent says which batch the proposals in flight are in.
func (l *Ledger) tellSent(b record.Batch) {
	l.mu.Lock()
	flight := l.writer.flight
	l.mu.Unlock()
	for _, p := range flight {
		if p.OnSend != nil {
			p.OnSend(state.Position{Writer: b.Writer, Incarnation: b.Incarnation, Sequence: b.Sequence})
		}
	}
}

// sizeOf estimates the bytes of records, of which few kinds are large.
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

// Join enters this process into the roster; it must be the first proposal.
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

// Run reads and writes the log until the context ends.
func (l *Ledger) Run(ctx context.Context) {
	a := appender{ledger: l, rate: appendsMost, pace: rate.NewLimiter(appendsMost, appendBurst)}
	go a.run(ctx)
	l.run(ctx)
}
