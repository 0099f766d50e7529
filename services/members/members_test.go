// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package members

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// mesh is a set of tables in memory, with network cuts between them.
type mesh struct {
	tables map[string]*Table
	frozen map[string]bool
	cut    map[[2]string]bool // from, to: messages are lost in one direction
	sent   atomic.Int64
}

var errNoResponse = errors.New("no response")

func newMesh(n int) *mesh {
	m := &mesh{tables: make(map[string]*Table), frozen: make(map[string]bool), cut: make(map[[2]string]bool)}
	var s state.State
	for i := range n {
		name := fmt.Sprintf("e%03d", i)
		data, err := record.Batch{Writer: name, Incarnation: 1, Sequence: 1, Records: []record.Record{{Join: &record.Join{}}}}.Encode()
		if err != nil {
			panic(err)
		}
		s = s.Fold(record.Stored{Offset: s.Offset, At: time.Unix(1, 0), Data: data}).State
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, name := range s.MemberNames() {
		t := &Table{Shuffle: random.Shuffle, Name: name, Incarnation: 1, State: func() state.State { return s }}
		t.Probe = func(_ context.Context, to string, msg Message) (Message, error) { return m.send(name, to, msg) }
		t.ProbeVia = func(ctx context.Context, helper, entry string) error {
			if m.isCut(name, helper) {
				return errNoResponse
			}
			return m.tables[helper].Ping(ctx, entry)
		}
		m.tables[name] = t
	}
	return m
}

func (m *mesh) isCut(from, to string) bool {
	return m.frozen[from] || m.frozen[to] || m.cut[[2]string{from, to}] || m.cut[[2]string{to, from}]
}

func (m *mesh) send(from, to string, msg Message) (Message, error) {
	m.sent.Add(1)
	if m.isCut(from, to) {
		return Message{}, errNoResponse
	}
	return m.tables[to].Receive(msg), nil
}

// round makes every table probe once.
func (m *mesh) round() {
	for _, name := range slices.Sorted(maps.Keys(m.tables)) {
		if t := m.tables[name]; !m.frozen[name] {
			t.probe(context.Background(), t.next())
		}
	}
}

// countDead counts the running tables that consider an entry dead.
func (m *mesh) countDead(entry string) int {
	n := 0
	for name, t := range m.tables {
		if !m.frozen[name] && !t.Alive(entry) {
			n++
		}
	}
	return n
}

func TestFrozenEntryIsDetectedByAllAndRecovers(t *testing.T) {
	for _, n := range []int{9, 60, 120} {
		m := newMesh(n)
		for range 5 {
			m.round()
		}
		m.frozen["e003"] = true
		rounds := 0
		for m.countDead("e003") < n-1 {
			m.round()
			rounds++
		}
		// If a status update reached all but those that knew the entry best, it would take as many
		// rounds as there are entries.
		assert.Assert(t, rounds <= 25, "took %d rounds with %d entries", rounds, n)
		for name := range m.tables {
			if name != "e003" {
				assert.Equal(t, m.countDead(name), 0, "false alarm about %s with %d entries", name, n)
			}
		}
		m.frozen["e003"] = false
		for m.countDead("e003") > 0 {
			m.round()
		}
	}
}

func TestOneWayCutIsNotDetectedAsDead(t *testing.T) {
	m := newMesh(9)
	m.cut[[2]string{"e001", "e002"}] = true
	for range 50 {
		m.round()
	}
	assert.Equal(t, m.countDead("e001")+m.countDead("e002"), 0)
}

func TestMessageCountDoesNotGrowWithEntries(t *testing.T) {
	for _, n := range []int{9, 120} {
		m := newMesh(n)
		m.round()
		assert.Equal(t, m.sent.Load(), int64(n))
	}
}
