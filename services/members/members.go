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

// The rates of the probes.
const (
	Period       = time.Second
	probeTimeout = 400 * time.Millisecond
	helpers      = 3 // entries that are asked to probe one that did not answer
	newsSent     = 8 // rows a message
	newsSpread   = 3 // each row is sent so many times the logarithm of the entries
)

// Row is what is known of one entry.
type Row struct {
	Entry       string `json:"n"`
	Incarnation uint64 `json:"i"`
	Refutation  uint64 `json:"b"` // raised by the entry when it is taken for dead
	Offset      uint64 `json:"o,omitempty"`
	Dead        bool   `json:"d,omitempty"`
}

// Message is a probe or its answer: the sender's row first, then news.
type Message struct {
	Rows []Row `json:"r"`
}

// Table is one entry's view of the others. Lock order: mu before that of the
// state, and mu is not held while calling a peer.
type Table struct {
	Clock       clock.Clock
	Logger      log.Logger
	Name        string
	Incarnation uint64
	State       func() state.State
	// Probe sends a message to an entry and returns its answer.
	Probe func(ctx context.Context, entry string, m Message) (Message, error)
	// ProbeVia has a helper probe an entry, and returns nil if that answered.
	ProbeVia func(ctx context.Context, helper, entry string) error
	// Shuffle mixes n things; nil for at random.
	Shuffle func(n int, swap func(i, j int))

	mu    sync.Mutex
	beat  uint64
	rows  map[string]*knownRow
	order []string // entries still to probe in this round
}

type knownRow struct {
	Row
	left int // times that the row is still sent on
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

// next returns the entry to probe; every entry has its turn in each round, in
// a random order.
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

// probe asks an entry whether it is alive, and helpers if it does not answer.
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
		t.Logger.Info().Str("entry", entry).Msg("entry does not answer")
		r.Dead = true
		r.left = t.spread()
	}
}

// Ping probes an entry and returns nil if it answered.
func (t *Table) Ping(ctx context.Context, entry string) error {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := t.Probe(bounded, entry, t.compose(entry))
	if err == nil {
		t.merge(answer)
	}
	return err
}

// probeByHelpers reports whether some other entry reaches it.
func (t *Table) probeByHelpers(ctx context.Context, entry string) bool {
	others := slices.DeleteFunc(t.others(), func(n string) bool { return n == entry || !t.Alive(n) })
	asked := t.shuffled(others)[:min(helpers, len(others))]
	reached := make(chan bool, len(asked))
	bounded, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	for _, h := range asked {
		go helping{t, h, entry, reached}.run(bounded)
	}
	for range asked {
		if <-reached {
			return true
		}
	}
	return false
}

// helping is one helper's probe.
type helping struct {
	t       *Table
	helper  string
	entry   string
	reached chan<- bool
}

func (h helping) run(ctx context.Context) { h.reached <- h.t.ProbeVia(ctx, h.helper, h.entry) == nil }

// others returns the present entries but this one.
func (t *Table) others() []string {
	return slices.DeleteFunc(t.State().MemberNames(), func(n string) bool { return n == t.Name })
}

// row returns what is known of an entry, a fresh row for nothing; t.mu is held.
// Its process is the one of the roster, or news of it would count as news of
// an older one where it is better known.
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

// spread returns how often a new row is sent on; t.mu is held.
func (t *Table) spread() int { return newsSpread * bits.Len(uint(len(t.rows)+1)) }

// compose writes a message to an entry; one that is taken for dead hears so,
// and can object.
func (t *Table) compose(to string) Message {
	offset := t.State().Offset
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Message{Rows: []Row{{Entry: t.Name, Incarnation: t.Incarnation, Refutation: t.beat, Offset: offset}}}
	if r := t.row(to); r.Dead {
		m.Rows = append(m.Rows, r.Row)
	}
	var news []*knownRow
	for _, r := range t.rows {
		if r.left > 0 && r.Entry != to {
			news = append(news, r)
		}
	}
	slices.SortFunc(news, func(a, b *knownRow) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.Entry, b.Entry))
	})
	for _, r := range news[:min(newsSent, len(news))] {
		r.left--
		m.Rows = append(m.Rows, r.Row)
	}
	return m
}

// Receive merges another entry's message and returns the answer to it.
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
			t.object(row)
			continue
		}
		known := t.row(row.Entry)
		known.Offset = max(known.Offset, row.Offset)
		if !overrides(row, known.Row) {
			continue
		}
		changed := row.Dead != known.Dead
		row.Offset = known.Offset
		known.Row = row
		if changed {
			known.left = t.spread()
		}
	}
}

// object raises this entry's beat above one at which it was taken for dead.
func (t *Table) object(row Row) {
	if row.Dead && row.Incarnation <= t.Incarnation && row.Refutation >= t.beat {
		t.beat = row.Refutation + 1
	}
}

// overrides reports whether a row is newer than what is known; at the same
// beat, death is.
func overrides(a, b Row) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Refutation != b.Refutation {
		return a.Refutation > b.Refutation
	}
	return a.Dead && !b.Dead
}

// Alive reports whether the entry is not taken for dead.
func (t *Table) Alive(entry string) bool {
	if entry == t.Name {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[entry]
	return !ok || !r.Dead
}

// AliveEntries returns the present entries that are not taken for dead, this
// one included.
func (t *Table) AliveEntries() []string {
	return slices.DeleteFunc(t.State().MemberNames(), func(n string) bool { return !t.Alive(n) })
}

// Member is one row of a dump.
type Member struct {
	Row
	Alive bool `json:"alive"`
}

// Dump returns what is known of the others, by name.
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
