// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package measure

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// Store returns the store with its calls counted. Reads wait for records, so only their outcomes
// are counted and not their durations.
func (m *Meter) Store(s port.Store) port.Store {
	counted := s
	counted.Append = func(ctx context.Context, p port.Partition, w port.Writer, records []port.Record) error {
		startedAt := time.Now()
		err := s.Append(ctx, p, w, records)
		m.ObserveCall("store.append", time.Since(startedAt), err)
		return err
	}
	counted.Put = func(ctx context.Context, p port.Partition, records []port.Record) error {
		startedAt := time.Now()
		err := s.Put(ctx, p, records)
		m.ObserveCall("store.put", time.Since(startedAt), err)
		return err
	}
	counted.AppendAt = func(ctx context.Context, p port.Partition, at uint64, records []port.Record) (uint64, error) {
		startedAt := time.Now()
		end, err := s.AppendAt(ctx, p, at, records)
		m.ObserveCall("store.append_at", time.Since(startedAt), err)
		return end, err
	}
	counted.Newest = func(ctx context.Context, p port.Partition, after string) (port.Page, error) {
		startedAt := time.Now()
		page, err := s.Newest(ctx, p, after)
		m.ObserveCall("store.newest", time.Since(startedAt), err)
		return page, err
	}
	counted.Read = func(ctx context.Context, p port.Partition, from uint64, wait time.Duration) (port.Tail, error) {
		tail, err := s.Read(ctx, p, from, wait)
		m.Count("store.read." + outcome(err))
		return tail, err
	}
	return counted
}

// Workers returns the workers with the calls to them counted by verdict. Polls wait for runs to
// end, so only their verdicts are counted and not their durations.
func (m *Meter) Workers(w port.Workers) port.Workers {
	return port.Workers{Open: func(o worker.Worker) *port.Link { return m.link(w.Open(o)) }}
}

func (m *Meter) link(l *port.Link) *port.Link {
	counted := *l
	counted.Start = func(ctx context.Context, s port.Start) port.Response {
		startedAt := time.Now()
		a := l.Start(ctx, s)
		m.Observe("worker.start", time.Since(startedAt), string(a.Result))
		return a
	}
	counted.Stop = func(ctx context.Context, s port.Stop) port.Response {
		startedAt := time.Now()
		a := l.Stop(ctx, s)
		m.Observe("worker.stop", time.Since(startedAt), string(a.Result))
		return a
	}
	counted.SetCPUShare = func(ctx context.Context, p port.CPUShare) port.Response {
		startedAt := time.Now()
		a := l.SetCPUShare(ctx, p)
		m.Observe("worker.pace", time.Since(startedAt), string(a.Result))
		return a
	}
	counted.Poll = func(ctx context.Context, k port.Poll) (worker.PollResult, port.Response) {
		listing, a := l.Poll(ctx, k)
		m.Count("worker.look." + string(a.Result))
		return listing, a
	}
	return &counted
}

// Instances returns the instance control with its calls counted.
func (m *Meter) Instances(i port.Instances) port.Instances {
	counted := i
	counted.List = func(ctx context.Context) ([]port.Instance, error) {
		startedAt := time.Now()
		list, err := i.List(ctx)
		m.ObserveCall("instances.list", time.Since(startedAt), err)
		return list, err
	}
	counted.Move = func(ctx context.Context, p port.Issuer, instance, pool string) error {
		startedAt := time.Now()
		err := i.Move(ctx, p, instance, pool)
		m.ObserveCall("instances.move", time.Since(startedAt), err)
		return err
	}
	counted.Maintain = func(ctx context.Context, p port.Issuer, instance string, wave int) error {
		startedAt := time.Now()
		err := i.Maintain(ctx, p, instance, wave)
		m.ObserveCall("instances.maintain", time.Since(startedAt), err)
		return err
	}
	return counted
}

// Advisor returns the advice service with its calls counted.
func (m *Meter) Advisor(a port.Advisor) port.Advisor {
	return port.Advisor{Advise: func(ctx context.Context, step string, workers []worker.ID) ([]port.Ticket, error) {
		startedAt := time.Now()
		tickets, err := a.Advise(ctx, step, workers)
		m.ObserveCall("advice.ask", time.Since(startedAt), err)
		return tickets, err
	}}
}
