// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/platform"
	"github.com/yardbridge/yardbridge/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a ledger on a log until the test ends.
func start(t *testing.T, l *standin.Log, name string, peers Peers) *Ledger {
	t.Helper()
	g := &Ledger{Log: l.Port(), Logger: log.Nop(), Name: name, Incarnation: 1, Peers: peers}
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, g.Start(ctx))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	assert.NilError(t, g.Join(ctx))
	return g
}

func team(deployment, name string, base uint64) record.Record {
	return record.Record{Apply: &record.Apply{
		Deployment: deployment, Base: base, Put: []manifest.Object{{Team: &manifest.Team{Name: name}}},
	}}
}

func TestLostResponsesApplyOnce(t *testing.T) {
	l := &standin.Log{}
	g := start(t, l, "a", Peers{})
	ctx := context.Background()
	for n := range 20 {
		l.SetFaults(standin.LogFaults{LoseResponses: 2})
		// A second application of the change would conflict with the first.
		assert.NilError(t, g.ProposeOne(ctx, team("d", fmt.Sprintf("t%d", n), g.State().Catalog.Version)))
	}
	assert.Equal(t, len(g.State().Catalog.Active()), 20)
}

func TestGroupsShareAppends(t *testing.T) {
	l := &standin.Log{}
	g := start(t, l, "a", Peers{})
	l.SetFaults(standin.LogFaults{Down: true})
	var group sync.WaitGroup
	for n := range 100 {
		group.Add(1)
		go func() {
			defer group.Done()
			_ = g.ProposeOne(context.Background(), team("d", fmt.Sprintf("t%d", n), 1<<40))
		}()
	}
	for g.underway() < 100 {
		time.Sleep(time.Millisecond)
	}
	before, _ := l.Appends()
	l.SetFaults(standin.LogFaults{})
	group.Wait()
	after, _ := l.Appends()
	assert.Assert(t, after-before <= 4, "%d appends", after-before)
}

func TestDownLogIsReported(t *testing.T) {
	l := &standin.Log{}
	g := start(t, l, "a", Peers{})
	l.SetFaults(standin.LogFaults{Down: true})
	short := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return g.ProposeOne(ctx, team("d", "t", 0))
	}
	// The first may still be appended; the second certainly will not.
	assert.Assert(t, errkind.Is(short(), errkind.OutcomeUnknown))
	assert.Assert(t, errkind.Is(short(), errkind.LogUnavailable))
	l.SetFaults(standin.LogFaults{})
	assert.NilError(t, g.WaitFor(context.Background(), state.Position{Offset: g.State().Offset + 1}))
}

func TestLateVerdictIsReported(t *testing.T) {
	l := &standin.Log{}
	g := start(t, l, "a", Peers{})
	l.SetFaults(standin.LogFaults{Down: true})
	late := make(chan []state.Verdict, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := g.Propose(ctx, Proposal{Records: []record.Record{team("d", "t", 0)}, OnLateVerdicts: func(v []state.Verdict) { late <- v }})
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown))
	l.SetFaults(standin.LogFaults{})
	assert.NilError(t, (<-late)[0])
}

// TestOutageLongerThanTheRetention guards against a start without a state: the log no longer holds
// the records that led to the state.
func TestOutageLongerThanTheRetention(t *testing.T) {
	fake := clock.NewFake(time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC))
	l := &standin.Log{Clock: clock.Clock{NowFunc: fake.Now}, Retention: time.Hour}
	a := start(t, l, "a", Peers{})
	ctx := context.Background()
	assert.NilError(t, a.ProposeOne(ctx, team("d", "early", 0)))
	l.SetFaults(standin.LogFaults{Down: true})
	fake.Advance(2 * time.Hour)
	l.SetFaults(standin.LogFaults{})

	// Without a snapshot on the log, a new process can't start from the log alone,
	fresh := &Ledger{Log: l.Port(), Logger: log.Nop(), Name: "b", Incarnation: 1}
	assert.Assert(t, errkind.IsErrLogUnavailable(fresh.Start(ctx)))
	// but it can start from a peer.
	peerState := func(context.Context) (state.State, error) { return a.State(), nil }
	b := start(t, l, "b", Peers{State: peerState})
	assert.Equal(t, len(b.State().Catalog.Active()), 1)

	// With a snapshot on the log it needs no peer.
	s := a.State()
	data, err := s.Encode()
	assert.NilError(t, err)
	for _, c := range state.Chunks(s.Offset, data) {
		assert.NilError(t, a.ProposeOne(ctx, record.Record{Snapshot: &c}))
	}
	c := start(t, l, "c", Peers{})
	assert.Equal(t, len(c.State().Catalog.Active()), 1)
	assert.NilError(t, c.ProposeOne(ctx, team("d", "later", c.State().Catalog.Version)))
	assert.NilError(t, a.WaitFor(ctx, state.Position{Offset: c.State().Offset}))
	assert.Equal(t, len(a.State().Catalog.Active()), 2)
}

func TestCutOffProcessFollowsAPeer(t *testing.T) {
	l := &standin.Log{}
	a := start(t, l, "a", Peers{})
	relay := func(_ context.Context, from uint64) ([]record.Stored, time.Duration, error) {
		return a.Tail(from), time.Since(a.LastContact()), nil
	}
	cut := errkind.New(errkind.LogUnavailable, "cut off")
	b := &Ledger{Logger: log.Nop(), Name: "b", Incarnation: 1, Peers: Peers{
		Relay: relay,
		State: func(context.Context) (state.State, error) { return a.State(), nil },
		Append: func(ctx context.Context, data []byte) error {
			if _, err := a.Log.Append(ctx, data); err != nil {
				return err
			}
			return errkind.New(errkind.OutcomeUnknown, "the response was lost")
		},
	}}
	b.Log.Append = func(context.Context, []byte) (uint64, error) { return 0, cut }
	b.Log.Read = func(context.Context, uint64, time.Duration) (platform.Page, error) { return platform.Page{}, cut }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	assert.NilError(t, b.Start(ctx))
	go func() {
		defer close(ended)
		b.Run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	assert.NilError(t, a.ProposeOne(context.Background(), team("d", "t", 0)))
	assert.NilError(t, b.WaitFor(context.Background(), state.Position{Offset: a.State().Offset}))
	assert.Equal(t, len(b.State().Catalog.Active()), 1)
	// Its own records reach the log through the peer, once.
	assert.NilError(t, b.Join(context.Background()))
	assert.NilError(t, b.ProposeOne(context.Background(), team("d", "u", b.State().Catalog.Version)))
	assert.Equal(t, len(a.State().Catalog.Active()), 2)
}

func TestReplacedProcessIsRemoved(t *testing.T) {
	l := &standin.Log{}
	old := start(t, l, "a", Peers{})
	assert.Assert(t, !old.Removed())
	fresh := &Ledger{Log: l.Port(), Logger: log.Nop(), Name: "a", Incarnation: 2}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	assert.NilError(t, fresh.Start(ctx))
	go func() {
		defer close(ended)
		fresh.Run(ctx)
	}()
	assert.NilError(t, fresh.Join(ctx))
	assert.NilError(t, old.WaitFor(ctx, state.Position{Offset: fresh.State().Offset}))
	assert.Assert(t, old.Removed())
	cancel()
	<-ended
}

// underway returns how many records are queued or in flight.
func (l *Ledger) underway() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.writer.queued
	for _, p := range l.writer.flight {
		n += len(p.Records)
	}
	return n
}
