// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"slices"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// keyQueue is the prefix of the records of queues, followed by the queue's key. A record states whether the
// pool accepts new jobs of the queue, so that no later owner accepts them after another pool does, and the
// queue's settings, which its jobs keep when the configuration no longer has the queue.
const keyQueue = "e/"

// Assignment states whether a pool accepts new jobs of a queue. Of all pools, at most one does.
type Assignment struct {
	Open    bool   `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"` // of the configuration by which the queue was opened or closed last; 0 for neither
	// Others are the pools that may know jobs of the queue: earlier ones, and those for which it was closed here.
	Others []string `cbor:"3,keyasint,omitempty"`
}

// queueRecord is the persisted state of a queue.
type queueRecord struct {
	Assignment Assignment   `cbor:"1,keyasint"`
	Settings   config.Queue `cbor:"2,keyasint"` // of the newest configuration that has the queue, zero for unknown
}

// queueState is what a pool knows of a queue.
type queueState struct {
	queueRecord
	persisted bool   // persisted, or in the batch in progress
	dirty     bool   // differs from what is persisted
	changedIn uint64 // batch that carries the newest change
}

// hasSettings reports whether the settings of the queue are known.
func (s *queueState) hasSettings() bool { return s.Settings != (config.Queue{}) }

// queue returns the state of a queue, and creates it on first use.
func (p *Pool) queue(key string) *queueState {
	s := p.queues[key]
	if s == nil {
		s = &queueState{}
		p.queues[key] = s
	}
	return s
}

// markQueue marks a queue as changed, so that the next batch persists its state.
func (p *Pool) markQueue(key string, s *queueState) {
	s.changedIn = p.batch
	if !s.dirty {
		s.dirty = true
		p.changedQueues = append(p.changedQueues, key)
	}
}

// Assignment returns whether the pool accepts new jobs of a queue.
func (p *Pool) Assignment(queue string) Assignment {
	if s := p.queues[queue]; s != nil {
		return s.Assignment
	}
	return Assignment{}
}

// OpenQueues returns the queues of which the pool accepts new jobs.
func (p *Pool) OpenQueues() []string {
	var open []string
	for key, s := range p.queues {
		if s.Assignment.Open {
			open = append(open, key)
		}
	}
	return open
}

// UnrecordedQueues returns the queues of active jobs that have no record.
func (p *Pool) UnrecordedQueues() []string {
	var list []string
	for _, j := range p.active {
		if p.queues[j.sub.Queue] == nil && !slices.Contains(list, j.sub.Queue) {
			list = append(list, j.sub.Queue)
		}
	}
	return list
}

// OpenQueue makes the pool accept new jobs of a queue by a version of the configuration, and reports whether it
// does: a queue that a newer version has closed stays closed. The others are the pools that know jobs of the
// queue. A queue that no other pool has had is persisted with its first job.
func (p *Pool) OpenQueue(queue string, version uint64, others []string) bool {
	s := p.queue(queue)
	a := &s.Assignment
	if a.Version > version || a.Version == version && !a.Open && version > 0 {
		return false
	}
	changed := !a.Open || !slices.Equal(a.Others, others)
	a.Open, a.Version, a.Others = true, version, others
	if changed && (s.persisted || s.dirty || len(others) > 0) {
		p.markQueue(queue, s)
	}
	return true
}

// CloseQueue makes the pool refuse new jobs of a queue, because another pool accepts them by a version of the
// configuration. It returns the batch that carries the change.
func (p *Pool) CloseQueue(queue, by string, version uint64) uint64 {
	s := p.queue(queue)
	a := &s.Assignment
	if !a.Open && a.Version >= version && slices.Contains(a.Others, by) {
		return s.changedIn
	}
	a.Open, a.Version = false, max(a.Version, version)
	if !slices.Contains(a.Others, by) {
		a.Others = append(slices.Clone(a.Others), by)
	}
	p.markQueue(queue, s)
	return s.changedIn
}

// JobsOfQueue returns the jobs that are known and may be of a queue, by customer. Of an ended job without a
// customer, a later owner knows only the ID.
func (p *Pool) JobsOfQueue(queue string) map[string][]job.ID {
	var jobs map[string][]job.ID
	for id, j := range p.jobs {
		if j.sub.Queue != queue && j.sub.Queue != "" {
			continue
		}
		if jobs == nil {
			jobs = make(map[string][]job.ID)
		}
		jobs[j.sub.Customer] = append(jobs[j.sub.Customer], id)
	}
	return jobs
}

// AssignedQueues returns the queues that the newest configuration assigns to the pool, and its version.
func (p *Pool) AssignedQueues() ([]string, uint64) {
	if p.config == nil {
		return nil, 0
	}
	var keys []string
	for i := range p.config.Queues {
		if q := &p.config.Queues[i]; q.Pool == p.Name {
			keys = append(keys, q.Key())
		}
	}
	return keys, p.config.Version
}

// IsAssignedAfter reports whether a configuration newer than a version assigns a queue to the pool.
func (p *Pool) IsAssignedAfter(queue string, version uint64) bool {
	if p.config == nil || p.config.Version <= version {
		return false
	}
	q := p.config.Queue(queue)
	return q != nil && q.Pool == p.Name
}

// noteJob records the queue of a new job, so that the batch with the job carries what later owners must know.
func (p *Pool) noteJob(queue string) {
	s := p.queue(queue)
	if !p.learnSettings(queue, s) && s.persisted {
		return
	}
	p.markQueue(queue, s)
}

// learnSettings records the settings of a queue, and reports whether they have changed.
func (p *Pool) learnSettings(key string, s *queueState) bool {
	if p.config == nil {
		return false
	}
	q := p.config.Queue(key)
	if q == nil || sameSettings(*q, s.Settings) {
		return false
	}
	s.Settings = *q
	return true
}

// sameSettings reports whether two queues have the same settings.
func sameSettings(a, b config.Queue) bool {
	sameAdvice := a.Advice == b.Advice || a.Advice != nil && b.Advice != nil && *a.Advice == *b.Advice
	a.Advice, b.Advice = nil, nil
	return sameAdvice && a == b
}

// updateSettings records the settings that the newest configuration gives the queues of active jobs.
func (p *Pool) updateSettings() {
	for _, j := range p.active {
		if s := p.queue(j.sub.Queue); p.learnSettings(j.sub.Queue, s) {
			p.markQueue(j.sub.Queue, s)
		}
	}
}

// unknownQueue returns the settings for a job whose queue neither the configuration nor a record has: a task
// that fails is not started again, and all other jobs come first.
func unknownQueue() config.Queue { return config.Queue{MaxAttempts: 1, Priority: math.MaxInt16} }

// queueOf returns the queue of a job, or its last settings where the newest configuration does not have it.
func (p *Pool) queueOf(j *jobState) config.Queue {
	if p.config != nil {
		if q := p.config.Queue(j.sub.Queue); q != nil {
			return *q
		}
	}
	if s := p.queues[j.sub.Queue]; s != nil && s.hasSettings() {
		return s.Settings
	}
	if p.config == nil || j.queue != (config.Queue{}) {
		return j.queue
	}
	p.Logger.Warn().Str("event", "queue").Str("job", string(j.sub.ID)).Str("queue", j.sub.Queue).Uint64("config", p.configVersion()).Str("outcome", "unknown").
		Msg("no configuration and no record has the queue of a job; its tasks are not started again after a failure")
	return unknownQueue()
}

// addQueues adds the records of changed queues to the batch.
func (p *Pool) addQueues(b *Batch) error {
	for _, key := range p.changedQueues {
		s := p.queues[key]
		data, err := codec.Marshal(s.queueRecord)
		if err != nil {
			return err
		}
		s.persisted, s.dirty = true, false
		b.Records = append(b.Records, port.Record{Key: keyQueue + key, Value: data})
	}
	p.changedQueues = nil
	return nil
}

// restoreQueues restores the queues that earlier owners have persisted.
func (p *Pool) restoreQueues(records []port.Record) error {
	return eachRecord(records, keyQueue, "queue", func(key string, r queueRecord) error {
		p.queues[key] = &queueState{queueRecord: r, persisted: true}
		return nil
	})
}
