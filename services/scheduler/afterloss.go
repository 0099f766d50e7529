// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
)

// A run that is declared lost must have ended: its task starts elsewhere. Whether it had shows only once its
// worker responds. If the worker still lists the run, its lease was extended by another owner, or was longer
// than assumed. So the newest losses are kept until their workers have responded, and what these list is
// compared with them.

const (
	// maxLosses is how many losses are kept; the oldest ones go first.
	maxLosses = 1024
	// lossLogInterval is the least time between two lines about a worker that still lists lost runs: it is polled
	// at once while they are being stopped.
	lossLogInterval = time.Second
)

// loss is a run that was declared lost.
type loss struct {
	worker    worker.ID
	task      string
	number    int
	reason    string
	at        time.Time     // when it was declared lost
	leaseEnd  time.Time     // when its lease was taken to end
	deadline  time.Duration // latest deadline of the lease on the worker's clock, 0 if unknown
	startedAt int64         // start time of the worker's incarnation, 0 if unknown
	listed    bool          // its worker has listed it as running since
	loggedAt  time.Time     // when a line last said so
}

// losses are the newest losses of a pool.
type losses struct {
	byWorker map[worker.ID]map[string]*loss // by task name
	queue    []*loss                        // oldest first; some may be gone from byWorker
}

// add keeps a loss.
func (l *losses) add(o *loss) {
	if len(l.queue) >= maxLosses {
		l.remove(l.queue[0])
		l.queue = l.queue[1:]
	}
	if len(l.byWorker) == 0 {
		l.byWorker, l.queue = make(map[worker.ID]map[string]*loss), nil
	}
	if l.byWorker[o.worker] == nil {
		l.byWorker[o.worker] = make(map[string]*loss)
	}
	l.byWorker[o.worker][o.task] = o
	l.queue = append(l.queue, o)
}

// remove forgets a loss, unless a later run of its task was lost there.
func (l *losses) remove(o *loss) {
	if l.byWorker[o.worker][o.task] != o {
		return
	}
	delete(l.byWorker[o.worker], o.task)
	if len(l.byWorker[o.worker]) == 0 {
		delete(l.byWorker, o.worker)
	}
}

// of returns the loss of a run on a worker, nil if it is not known.
func (l *losses) of(id worker.ID, task string, number int) *loss {
	if o := l.byWorker[id][task]; o != nil && o.number == number {
		return o
	}
	return nil
}

// noteLoss logs and keeps that a run is declared lost, and what the wait was counted from.
func (p *Pool) noteLoss(u *run, now time.Time, reason string) {
	w := u.worker
	o := &loss{worker: w.info.ID, task: u.name, number: u.number, reason: reason, at: now, leaseEnd: w.leasesExpireAt(), startedAt: w.startedAt}
	e := p.Logger.Info().Str("event", "lost").Str("task", u.name).Int("run", u.number).Str("worker", string(w.info.ID)).
		Dur("age", u.age(now)).Uint64("epoch", p.Token).Bool("restored", u.restored).Bool("met", w.hasResponded).
		Int64("born", w.startedAt).Bool("restart_suspected", w.restartSuspected)
	if !w.lastContact.IsZero() {
		e = e.Dur("heard", now.Sub(w.lastContact))
	}
	if !w.unresponsiveSince.IsZero() {
		e = e.Dur("silent", now.Sub(w.unresponsiveSince))
	}
	if !o.leaseEnd.IsZero() {
		e = e.Dur("past_lease", now.Sub(o.leaseEnd))
	}
	if w.hasResponded {
		o.deadline = w.latestDeadline
		e = e.Dur("deadline", o.deadline)
	}
	if !p.restoredAt.IsZero() {
		e = e.Dur("owned_for", now.Sub(p.restoredAt))
	}
	e.Str("why", reason).Msg("run lost")
	p.losses.add(o)
}

// logger returns a logger whose lines say how long before a time a run was declared lost and its lease was taken to
// end, and how far the worker's clock is past the lease in its newest list, unless that clock has begun anew.
func (o *loss) logger(l log.Logger, w *workerState, at time.Time) log.Logger {
	c := l.With().Str("task", o.task).Int("run", o.number).Str("worker", string(o.worker)).Str("lost_why", o.reason).
		Dur("since_lost", at.Sub(o.at)).Int64("born", w.startedAt).Int64("born_before", o.startedAt)
	if !o.leaseEnd.IsZero() {
		c = c.Dur("past_lease", at.Sub(o.leaseEnd))
	}
	if o.deadline > 0 && w.listedClock > 0 && o.startedAt == w.startedAt {
		c = c.Dur("past_deadline", w.listedClock-o.deadline)
	}
	return c.Logger()
}

// checkLosses compares the runs that a worker lists with those that were declared lost there before it was asked.
// Those that it lists get one line, with the run that was lost first; the others have ended, and are forgotten unless
// their ends are still to be listed.
func (p *Pool) checkLosses(w *workerState, sent time.Time, listing worker.PollResult, now time.Time) {
	lost := p.losses.byWorker[w.info.ID]
	if len(lost) == 0 {
		return
	}
	known := len(lost)
	var first *loss
	still := make(map[*loss]bool)
	for _, r := range listing.Runs {
		o := p.losses.of(w.info.ID, r.Task, r.Number)
		if o == nil || o.at.After(sent) {
			continue
		}
		still[o] = true
		p.countStillRunning(o)
		if first == nil || o.at.Before(first.at) {
			first = o
		}
	}
	for _, o := range lost {
		if !still[o] && !listing.Truncated && !o.at.After(sent) {
			p.losses.remove(o)
		}
	}
	if first != nil && (first.loggedAt.IsZero() || now.Sub(first.loggedAt) >= lossLogInterval) {
		first.loggedAt = now
		l := first.logger(p.Logger, w, sent)
		l.Info().Str("event", "after-loss").Int("runs", len(still)).Int("lost", known).Uint64("epoch", p.Token).
			Msg("worker still lists runs that were declared lost")
	}
}

// countStillRunning counts a lost run that its worker lists as running, once.
func (p *Pool) countStillRunning(o *loss) {
	if !o.listed {
		o.listed = true
		p.increment(lostStillRunning)
	}
}
