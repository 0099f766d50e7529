// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// What an owner has learned of its pool (run times, arriving work, the average use of customers) is
// persisted for the next owner: without it, an owner that takes a pool over in a surge sees the surge as
// new, asks for few instances, and goes by the callers' estimates again. The record needs no append of
// its own: it is added to a batch that is persisted anyway.

// keyLearned is the key of the pool's learned values.
const keyLearned = "l/"

const (
	// learnedInterval is the least time between two records of the learned values.
	learnedInterval = time.Second
	// maxLearnedImages is the number of images whose run times are persisted, those with the most runs
	// first: some 30 bytes each.
	maxLearnedImages = 200
	// maxLearnedAge is the age from which the averages of arriving work and of use are not restored: the
	// times of day of two machines may differ, and the averages have decayed by then.
	maxLearnedAge = 10 * time.Second
)

// learnedRecord is the persisted form of what an owner has learned.
type learnedRecord struct {
	_         struct{} `cbor:",toarray"`
	At        int64    // milliseconds since 1970
	Queues    []learnedQueue
	Images    []learnedImage
	Arrivals  [2]learnedAverage // slow and fast
	Slack     learnedMean
	Customers []learnedUsage
}

// learnedQueue is the relation of a queue's run times to estimates.
type learnedQueue struct {
	_                       struct{} `cbor:",toarray"`
	Queue                   string
	Count, X, Y, XX, XY, YY float32
}

// learnedImage is the mean run time of an image.
type learnedImage struct {
	_     struct{} `cbor:",toarray"`
	Image string
	Mean  learnedMean
}

// learnedMean is a moving mean.
type learnedMean struct {
	_     struct{} `cbor:",toarray"`
	Value float32
	Count int
}

// learnedAverage is an average of arriving work as of the record's time.
type learnedAverage struct {
	_                                  struct{} `cbor:",toarray"`
	CPU, Memory, Accelerators, Squares float32
}

// learnedUsage is a customer's average use.
type learnedUsage struct {
	_                         struct{} `cbor:",toarray"`
	Customer                  string
	CPU, Memory, Accelerators float32
}

// addLearned adds the learned values to a batch that has other records if they are due.
func (p *Pool) addLearned(b *Batch) error {
	if len(b.Records) == 0 || p.plannedAt.Sub(p.learnedAt) < learnedInterval {
		return nil
	}
	value, err := codec.Marshal(p.learned(p.plannedAt))
	if err != nil {
		return err
	}
	p.learnedAt = p.plannedAt
	b.Records = append(b.Records, port.Record{Key: keyLearned, Value: value})
	return nil
}

// learned returns the learned values.
func (p *Pool) learned(now time.Time) learnedRecord {
	r := learnedRecord{At: p.Clock.WallTime(now).UnixMilli(), Slack: p.slack.learned()}
	for _, queue := range slices.Sorted(maps.Keys(p.runTimesByQueue)) {
		t := p.runTimesByQueue[queue]
		r.Queues = append(r.Queues, learnedQueue{
			Queue: queue, Count: float32(t.count), X: float32(t.x), Y: float32(t.y), XX: float32(t.xx), XY: float32(t.xy), YY: float32(t.yy),
		})
	}
	for image, m := range p.runTimesByImage {
		r.Images = append(r.Images, learnedImage{Image: image, Mean: m.learned()})
	}
	slices.SortFunc(r.Images, func(a, b learnedImage) int {
		return cmp.Or(cmp.Compare(b.Mean.Count, a.Mean.Count), cmp.Compare(a.Image, b.Image))
	})
	r.Images = r.Images[:min(len(r.Images), maxLearnedImages)]
	p.arrivals.slow.decay(slowSpan, now)
	p.arrivals.fast.decay(fastSpan, now)
	r.Arrivals = [2]learnedAverage{p.arrivals.slow.learned(), p.arrivals.fast.learned()}
	for _, customer := range slices.Sorted(maps.Keys(p.usageByCustomer)) {
		u := p.usageByCustomer[customer]
		r.Customers = append(r.Customers, learnedUsage{Customer: customer, CPU: float32(u.cpu), Memory: float32(u.memory), Accelerators: float32(u.accelerators)})
	}
	return r
}

func (m mean) learned() learnedMean { return learnedMean{Value: float32(m.value), Count: m.count} }

func (m learnedMean) mean() mean { return mean{value: float64(m.Value), count: m.Count} }

func (a average) learned() learnedAverage {
	return learnedAverage{CPU: float32(a.cpu), Memory: float32(a.memory), Accelerators: float32(a.accelerators), Squares: float32(a.squares)}
}

func (a learnedAverage) average(at time.Time) average {
	return average{cpu: float64(a.CPU), memory: float64(a.Memory), accelerators: float64(a.Accelerators), squares: float64(a.Squares), at: at}
}

// restoreLearned restores what an earlier owner has learned. A record that cannot be read is no reason not
// to own the pool: the values are learned again.
func (p *Pool) restoreLearned(records []port.Record, now time.Time) {
	i := slices.IndexFunc(records, func(r port.Record) bool { return r.Key == keyLearned && len(r.Value) > 0 })
	if i < 0 {
		return
	}
	var r learnedRecord
	if err := codec.Unmarshal(records[i].Value, &r); err != nil {
		p.Logger.Warn().Str("event", "learned").Err(err).Str("outcome", "not used").Msg("what the last owner has learned can't be read")
		return
	}
	for _, q := range r.Queues {
		p.runTimesByQueue[q.Queue] = &regression{count: float64(q.Count), x: float64(q.X), y: float64(q.Y), xx: float64(q.XX), xy: float64(q.XY), yy: float64(q.YY)}
	}
	for _, o := range r.Images {
		m := o.Mean.mean()
		p.runTimesByImage[o.Image] = &m
	}
	p.slack = r.Slack.mean()
	age := max(now.Sub(p.Clock.FromWallTime(time.UnixMilli(r.At))), 0)
	p.Logger.Info().Str("event", "learned").Int("queues", len(r.Queues)).Int("images", len(r.Images)).Float32("arrives_cpu", r.Arrivals[0].CPU/float32(slowSpan.Seconds())).
		Int("customers", len(r.Customers)).Dur("age", age).Str("outcome", "restored").Msg("what the last owner has learned is known")
	if age > maxLearnedAge {
		return
	}
	// No arrivals were counted since the record, which may be learnedInterval older than the last ones.
	counted := now.Add(-max(age-learnedInterval, 0))
	p.arrivals = arrivals{slow: r.Arrivals[0].average(counted), fast: r.Arrivals[1].average(counted)}
	p.usageByCustomer, p.usageUpdatedAt = make(map[string]usage, len(r.Customers)), now.Add(-age)
	for _, u := range r.Customers {
		p.usageByCustomer[u.Customer] = usage{cpu: float64(u.CPU), memory: float64(u.Memory), accelerators: float64(u.Accelerators)}
	}
}
