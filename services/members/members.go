// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package members

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
)

// The timing and volume of the probes.
const (
	Period         = time.Second
	probeTimeout   = 400 * time.Millisecond
	helpers        = 3 // entries that probe an unresponsive entry indirectly
	rowsPerMessage = 8 // status updates per message
	spreadFactor   = 3 // each row is sent this many times the logarithm of the number of entries
)

// Row is the known status of one entry.
type Row struct {
	Entry       string `json:"n"`
	Incarnation uint64 `json:"i"`
	Refutation  uint64 `json:"b"` // raised by the entry when it is reported as dead
	Offset      uint64 `json:"o,omitempty"`
	Dead        bool   `json:"d,omitempty"`
}

// Message is a probe or the response to one: the sender's row first, then status updates.
type Message struct {
	Rows []Row `json:"r"`
}

// Table is one entry's view of the others. Lock order: mu is acquired before the lock of the state,
// and mu is not held while calling a peer.
type Table struct {
	Clock       clock.Clock
	Logger      log.Logger
	Name        string
	Incarnation uint64
	State       func() state.State
	// Probe sends a message to an entry and returns the response.
	Probe func(ctx context.Context, entry string, m Message) (Message, error)
	// ProbeVia makes a helper probe an entry, and returns nil if the entry responded.
	ProbeVia func(ctx context.Context, helper, entry string) error
	// Shuffle shuffles n elements; nil shuffles at random.
	Shuffle func(n int, swap func(i, j int))

	mu         sync.Mutex
	refutation uint64
	rows       map[string]*knownRow
	order      []string // entries still to probe in this round
}

type knownRow struct {
	Row
	sendsLeft int // how often the row is still to be sent
}

// Run probes until the context ends.
func (t *Table) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if entry := t.next(); entry != "" {
			t.probe(ctx, entry)
		}
		select {
		case <-t.Clock.After(Period):
		case <-ctx.Done():
		}
	}
}

// next returns the entry to probe; every entry is probed once in each round, in random order.
func (t *Table) next() string {
	others := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		if len(t.order) == 0 {
			t.order = t.shuffled(others)
		}
		if len(t.order) == 0 {
			return ""
		}
		entry := t.order[0]
		t.order = t.order[1:]
		if slices.Contains(others, entry) || len(others) == 0 {
			return entry
		}
	}
}

func (t *Table) shuffled(names []string) []string {
	shuffle := t.Shuffle
	if shuffle == nil {
		shuffle = rand.Shuffle
	}
	shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// probe checks whether an entry is alive, with the help of others if it does not respond.
func (t *Table) probe(ctx context.Context, entry string) {
	if t.Ping(ctx, entry) == nil {
		return
	}
	if t.probeByHelpers(ctx, entry) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(entry)
	if !r.Dead {
		t.Logger.Info().Str("entry", entry).Msg("entry does not respond")
		r.Dead = true
		r.sendsLeft = t.sendCount()
	}
}

// Ping probes an entry and returns nil if it responded.
func (t *Table) Ping(ctx context.Context, entry string) error {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := t.Probe(bounded, entry, t.compose(entry))
	if err == nil {
		t.merge(response)
	}
	return err
}

// probeByHelpers reports whether any helper reaches the entry.
func (t *Table) probeByHelpers(ctx context.Context, entry string) bool {
	others := slices.DeleteFunc(t.others(), func(n string) bool { return n == entry || !t.Alive(n) })
	selected := t.shuffled(others)[:min(helpers, len(others))]
	reached := make(chan bool, len(selected))
	bounded, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	for _, h := range selected {
		go helperProbe{t, h, entry, reached}.run(bounded)
	}
	for range selected {
		if <-reached {
			return true
		}
	}
	return false
}

// helperProbe is one helper's probe.
type helperProbe struct {
	t       *Table
	helper  string
	entry   string
	reached chan<- bool
}

func (h helperProbe) run(ctx context.Context) {
	h.reached <- h.t.ProbeVia(ctx, h.helper, h.entry) == nil
}

// others returns the present entries except this one.
func (t *Table) others() []string {
	return slices.DeleteFunc(t.State().MemberNames(), func(n string) bool { return n == t.Name })
}

// row returns the row of an entry, a new row if there is none; t.mu is held. Its incarnation is the
// one of the membership; otherwise status updates about it would count as those of an older
// incarnation at entries that know the newer one.
func (t *Table) row(entry string) *knownRow {
	if t.rows == nil {
		t.rows = make(map[string]*knownRow)
	}
	r, ok := t.rows[entry]
	if !ok {
		e, _ := t.State().Entries.Get(entry)
		r = &knownRow{Row: Row{Entry: entry, Incarnation: e.Incarnation}}
		t.rows[entry] = r
	}
	return r
}

// sendCount returns how often a new row is sent; t.mu is held.
func (t *Table) sendCount() int { return spreadFactor * bits.Len(uint(len(t.rows)+1)) }

// compose builds a message to an entry; an entry that is considered dead is informed of that, and
// can refute it.
func (t *Table) compose(to string) Message {
	offset := t.State().Offset
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Message{Rows: []Row{{Entry: t.Name, Incarnation: t.Incarnation, Refutation: t.refutation, Offset: offset}}}
	if r := t.row(to); r.Dead {
		m.Rows = append(m.Rows, r.Row)
	}
	var updates []*knownRow
	for _, r := range t.rows {
		if r.sendsLeft > 0 && r.Entry != to {
			updates = append(updates, r)
		}
	}
	slices.SortFunc(updates, func(a, b *knownRow) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Entry, b.Entry))
	})
	for _, r := range updates[:min(rowsPerMessage, len(updates))] {
		r.sendsLeft--
		m.Rows = append(m.Rows, r.Row)
	}
	return m
}

// Receive merges another entry's message and returns the response to it.
func (t *Table) Receive(m Message) Message {
	t.merge(m)
	if len(m.Rows) == 0 {
		return Message{}
	}
	return t.compose(m.Rows[0].Entry)
}

func (t *Table) merge(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range m.Rows {
		if row.Entry == t.Name {
			t.refute(row)
			continue
		}
		known := t.row(row.Entry)
		known.Offset = max(known.Offset, row.Offset)
		if !supersedes(row, known.Row) {
			continue
		}
		changed := row.Dead != known.Dead
		row.Offset = known.Offset
		known.Row = row
		if changed {
			known.sendsLeft = t.sendCount()
		}
	}
}

// refute raises this entry's refutation counter above the one at which it was reported as dead.
func (t *Table) refute(row Row) {
	if row.Dead && row.Incarnation <= t.Incarnation && row.Refutation >= t.refutation {
		t.refutation = row.Refutation + 1
	}
}

// supersedes reports whether a row is newer than the known one; with equal refutation counters,
// dead supersedes alive.
func supersedes(a, b Row) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Refutation != b.Refutation {
		return a.Refutation > b.Refutation
	}
	return a.Dead && !b.Dead
}

// Alive reports whether the entry is not considered dead.
func (t *Table) Alive(entry string) bool {
	if entry == t.Name {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[entry]
	return !ok || !r.Dead
}

// AliveEntries returns the present entries that are not considered dead, including this one.
func (t *Table) AliveEntries() []string {
	return slices.DeleteFunc(t.State().MemberNames(), func(n string) bool { return !t.Alive(n) })
}

// Member is one row of a dump.
type Member struct {
	Row
	Alive bool `json:"alive"`
}

// Dump returns the status of the other entries, by name.
func (t *Table) Dump() []Member {
	var list []Member
	for _, n := range t.others() {
		t.mu.Lock()
		row := t.row(n).Row
		t.mu.Unlock()
		list = append(list, Member{row, !row.Dead})
	}
	return list
}
