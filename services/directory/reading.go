// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// A process remembers the nodes that were registered at any offset of the directory from its horizon on, also those
// that have been removed since. It states that in a Reading, which other processes read in the same order as
// registrations: a node that was registered at an offset within the reading of a process is known to that process,
// or has registered before the process has read a later reading of its own, by which it forgets others.

// The prefixes of the keys by which nodes are known.
const (
	keyReading = "r/"
	keyEarlier = "p/"
)

const (
	// departedFor is for how long a node that was removed is remembered at least: a node that starts again is back
	// by then. It is longer than the age that a view may have by which a node claims a pool.
	departedFor = 8 * time.Second
	// earlierKept is how many earlier periods of a node its record holds.
	earlierKept = 4
)

// Period is a range of offsets of the directory's partition, both of which it includes.
type Period struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
}

// overlaps reports whether two periods have an offset in common.
func (p Period) overlaps(o Period) bool { return max(p.From, o.From) <= min(p.To, o.To) }

// Earlier is what was registered of a node that was removed at least once.
type Earlier struct {
	Node    Node     `cbor:"1,keyasint"` // its last entry that was removed
	Periods []Period `cbor:"2,keyasint"` // in which it was registered without interruption, the oldest first
}

// Reading states that a process has read the directory up to an offset, and remembers each node that was registered
// at that offset or at an earlier one from From on.
type Reading struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // of the process
	From        uint64 `cbor:"3,keyasint"` // 0 if unknown
	Read        uint64 `cbor:"4,keyasint"`
}

// later returns the reading of the later process, or what two readings of one process state together.
func (r Reading) later(o Reading) Reading {
	if r.Incarnation != o.Incarnation {
		if o.Incarnation > r.Incarnation {
			return o
		}
		return r
	}
	r.From, r.Read = max(r.From, o.From), max(r.Read, o.Read)
	return r
}

// Reading returns what a process has stated in the directory, together with another reading of that process.
func (v *View) Reading(other Reading) Reading {
	if r, has := v.Readings[other.Node]; has && r.Incarnation == other.Incarnation {
		return r.later(other)
	}
	return other
}

// KnownBy reports whether a registered node is shown to be known to a process by a reading of it. A process of an
// earlier version states no horizon: it knows nodes that have been registered without interruption since.
func (v *View) KnownBy(name string, r Reading) bool {
	r = v.Reading(r)
	n, registered := v.Nodes[name]
	if !registered || n.First == 0 {
		return false
	}
	if r.From == 0 {
		return n.First <= r.Read
	}
	if n.First > v.Through || v.End < r.Read { // the view may lack a later reading, or that the node was removed
		return false
	}
	within := Period{r.From, r.Read}
	return Period{n.First, v.End}.overlaps(within) || slices.ContainsFunc(v.Earlier[name].Periods, within.overlaps)
}

// applyKnown applies a record by which nodes are known, and reports whether it is one.
func (v *View) applyKnown(r port.Record) (bool, error) {
	if name, is := strings.CutPrefix(r.Key, keyReading); is {
		var reading Reading
		if len(r.Value) == 0 {
			return true, nil
		}
		if err := codec.Unmarshal(r.Value, &reading); err != nil {
			return true, err
		}
		if reading.Node != name || reading.From > reading.Read {
			return true, errkind.New(errkind.BadRequest, "reading of node %.60q from %d to %d", reading.Node, reading.From, reading.Read)
		}
		v.Readings[name] = v.Readings[name].later(reading)
		return true, nil
	}
	name, is := strings.CutPrefix(r.Key, keyEarlier)
	if !is {
		return false, nil
	}
	var e Earlier
	if len(r.Value) > 0 {
		if err := codec.Unmarshal(r.Value, &e); err != nil {
			return true, err
		}
	}
	if e.Node.Name != name {
		return true, errkind.New(errkind.BadRequest, "earlier entry of a node named %.60q has another name", e.Node.Name)
	}
	v.Earlier[name] = e
	return true, nil
}

// noteInterruptions sets the offset since which nodes have been registered without interruption where a view is built
// from the newest records: an entry may have been written for one that was removed in between.
func (v *View) noteInterruptions(records []port.Record) {
	offsets := make(map[string]uint64, len(records))
	for _, r := range records {
		offsets[r.Key] = r.Offset
	}
	for name, n := range v.Nodes {
		removed, has := offsets[keyEarlier+name]
		if written := offsets[keyNode+name]; has && n.First <= removed && removed < written {
			n.First = written + 1
			v.Nodes[name] = n
		}
	}
}

// keepsPeriods reports whether all registered nodes keep when a node was registered as they remove its entry.
func (v *View) keepsPeriods() bool {
	for _, n := range v.Nodes {
		if !n.KeepsPeriods {
			return false
		}
	}
	return true
}

// mergeKnown sets what both of two views contain about which nodes are known. Each is complete up to Through.
func (v *View) mergeKnown(a, b *View) {
	v.Readings, v.Earlier, v.Through = maps.Clone(a.Readings), maps.Clone(a.Earlier), max(a.Through, b.Through)
	if v.Readings == nil {
		v.Readings, v.Earlier = make(map[string]Reading), make(map[string]Earlier)
	}
	for name, r := range b.Readings {
		v.Readings[name] = v.Readings[name].later(r)
	}
	if b.Through > a.Through {
		maps.Copy(v.Earlier, b.Earlier)
	}
}

// removal returns the records that remove a node's entry, and keep when it was registered. The second one is written in any
// case: it shows that an entry after it was interrupted.
func (v *View) removal(name string) ([]port.Record, error) {
	e := Earlier{Node: Node{Name: name}}
	if v != nil {
		if last, has := v.Earlier[name]; has {
			e = Earlier{last.Node, slices.Clone(last.Periods)}
		}
		if n := v.Nodes[name]; n.First > 0 {
			e.Node, e.Periods = n, append(e.Periods, Period{n.First, v.End})
		}
	}
	e.Periods = e.Periods[max(0, len(e.Periods)-earlierKept):]
	value, err := codec.Marshal(e)
	return []port.Record{{Key: keyNode + name}, {Key: keyEarlier + name, Value: value}}, err
}

// Reading returns what this process has read, and which nodes it remembers.
func (d *Directory) Reading() Reading {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Reading{Node: d.Self.Name, Incarnation: d.Self.Incarnation}
	if d.view != nil {
		r.From, r.Read = max(d.horizon, d.floor, 1), d.view.End
	}
	return r
}

// Release forgets the nodes that were removed long ago. It must not be called while others count on what this process
// has stated.
func (d *Directory) Release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.horizon = max(d.horizon, d.forgettable())
}

// DueReading returns the reading that this process is to publish if a node has registered that its published readings up
// to an offset do not show to be known, or if nodes were removed long ago.
func (d *Directory) DueReading(read uint64) (Reading, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil {
		return Reading{}, false
	}
	due, now := false, d.Clock.Now()
	for name, n := range d.view.Nodes {
		due = due || n.First > read && name != d.Self.Name
	}
	for _, r := range d.removed {
		due = due || r.end > d.horizon && now.Sub(r.at) >= departedFor
	}
	from := max(d.horizon, d.floor, d.forgettable(), 1)
	return Reading{d.Self.Name, d.Self.Incarnation, from, d.view.End}, due && from <= d.view.End
}

// forgettable returns the offset from which on nodes are to be remembered: those that are registered, and those that
// were removed a short time ago. The lock is held.
func (d *Directory) forgettable() uint64 {
	if d.view == nil {
		return 0
	}
	from, now := d.view.End, d.Clock.Now()
	for name, r := range d.removed {
		if now.Sub(r.at) >= departedFor {
			continue
		}
		from = min(from, r.end-1)
		if periods := d.view.Earlier[name].Periods; len(periods) > 0 {
			from = min(from, periods[len(periods)-1].To)
		}
	}
	return from
}

// PublishReading publishes a reading of this process unless a record was added to the directory since: an earlier
// reading that arrives late would take the place of a later one.
func (d *Directory) PublishReading(ctx context.Context, r Reading) error {
	value, err := codec.Marshal(r)
	if err != nil {
		return err
	}
	_, err = d.Store.AppendAt(ctx, Partition, r.Read, []port.Record{{Key: keyReading + r.Node, Value: value}})
	return err
}

// removedNode is a node that is no longer registered.
type removedNode struct {
	node Node
	at   time.Time // when this node learned of it
	end  uint64    // offset after its removal
}

// rememberRemoved is for how long removed nodes are remembered, whatever the horizon.
const rememberRemoved = 2 * time.Minute

// Recent returns the other nodes that have been registered at any offset from the horizon of this process on, or at any
// time within departedFor or since the given one, which lies within rememberRemoved, as far as this node has read.
func (d *Directory) Recent(since time.Time) []Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Node
	if d.view != nil {
		list = slices.Collect(maps.Values(d.view.Nodes))
	}
	if departed := d.Clock.Now().Add(-departedFor); departed.Before(since) {
		since = departed
	}
	for _, r := range d.removed {
		if r.end > d.horizon || !r.at.Before(since) {
			list = append(list, r.node)
		}
	}
	return slices.DeleteFunc(list, func(n Node) bool { return n.Name == d.Self.Name })
}

// noteSkipped notes that changes before the next view were not read one by one: nodes may have come and gone meanwhile. If
// the view shows all that were removed, these count as removed now; otherwise what came before it is not known.
// The lock is held.
func (d *Directory) noteSkipped(next *View) {
	if next.Through < next.End || !next.keepsPeriods() {
		d.floor = next.End
	}
	for name, e := range next.Earlier {
		if _, registered := next.Nodes[name]; !registered {
			d.remember(name, removedNode{e.Node, d.Clock.Now(), next.End})
		}
	}
	for name, r := range d.removed {
		d.removed[name] = removedNode{r.node, d.Clock.Now(), next.End}
	}
}

// remember remembers a node that was removed. The lock is held.
func (d *Directory) remember(name string, r removedNode) {
	if d.removed == nil {
		d.removed = make(map[string]removedNode)
	}
	d.removed[name] = r
}

// noteRemoved remembers the nodes that the next view lacks, among them those that were registered and removed since
// the newest one. Once the next view contains a reading that this process has published, others are forgotten by it.
// The lock is held.
func (d *Directory) noteRemoved(next *View, since map[string]Node) {
	if own := next.Readings[d.Self.Name]; own.Incarnation == d.Self.Incarnation {
		d.horizon = max(d.horizon, own.From)
	}
	now := d.Clock.Now()
	maps.DeleteFunc(d.removed, func(name string, r removedNode) bool {
		_, registered := next.Nodes[name]
		return registered || r.end <= d.horizon && now.Sub(r.at) > rememberRemoved
	})
	if d.view == nil {
		return
	}
	for _, nodes := range []map[string]Node{d.view.Nodes, since} {
		for name, n := range nodes {
			if _, registered := next.Nodes[name]; registered {
				continue
			}
			d.remember(name, removedNode{n, now, next.End})
		}
	}
}
