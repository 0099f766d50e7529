// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/follow"
	"github.com/yardbridge/yardbridge/services/port"
)

// Partition is where the directory lies.
var Partition = port.Partition{Topic: "keyed.nodes"}

// The keys of the directory begin with these.
const (
	keyNode = "n/"
	keyPool = "o/"
)

// Node is one process of yardbridge.
type Node struct {
	Name        string  `cbor:"1,keyasint"`
	Address     string  `cbor:"2,keyasint"`             // for other nodes
	Incarnation uint64  `cbor:"3,keyasint" json:"Life"` // of the process; a later one of the name has a higher one
	Cores       float64 `cbor:"4,keyasint"`
	DataCenter  string  `cbor:"5,keyasint"`
	LinkMbps    float64 `cbor:"6,keyasint,omitempty"` // of its link, 0 for not stated
}

// coresPerMbit says how much of a core's work comes with a megabit a second: a run
// takes some 0.5 ms of a core and 5 kB, its text and what is told of it.
const coresPerMbit = 0.0125

// leastCapacity stands for a node that does not state its processors.
const leastCapacity = 0.01

// Capacity returns what a node can carry, in cores: its processors, or its link where
// that bears less.
func (n Node) Capacity() float64 {
	capacity := n.Cores
	if n.LinkMbps > 0 {
		capacity = min(capacity, n.LinkMbps*coresPerMbit)
	}
	return max(capacity, leastCapacity)
}

// Ownership says which node owns a pool, and in which slot the pool's partition
// lies.
type Ownership struct {
	Pool        string `cbor:"1,keyasint"`
	Slot        int    `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	Node        string `cbor:"4,keyasint"`             // "" for none yet
	Incarnation uint64 `cbor:"5,keyasint" json:"Life"` // of the node's process
}

// View is the directory at one time; it never changes.
type View struct {
	Nodes map[string]Node
	Pools map[string]Ownership
	End   uint64 // of the partition, as far as it was read
}

// Owner returns the node that owns a pool, and false while no node that is
// present does.
func (v *View) Owner(pool string) (Node, Ownership, bool) {
	o, known := v.Pools[pool]
	n, present := v.Nodes[o.Node]
	return n, o, known && present && n.Incarnation == o.Incarnation
}

// Directory is one node's view of the directory, and its entry there; its fields
// are set before Run.
type Directory struct {
	Store  port.Store
	Clock  clock.Clock
	Logger log.Logger
	Self   Node

	mu      sync.Mutex
	view    *View
	changed chan struct{} // closed with the next change
	leaving bool

	follower follow.Follower
}

// followWait is how long a reading of the directory waits for news. A record that
// comes while a reading begins was seen to be told only with the next reading.
const followWait = time.Second

// Run follows the directory until the context ends, and keeps this node's entry
// there.
func (d *Directory) Run(ctx context.Context) {
	f := &d.follower
	f.Store, f.Partition, f.Clock, f.Logger = d.Store, Partition, d.Clock, d.Logger
	f.Wait, f.Gap, f.Apply = followWait, d.followGap, d.apply
	go d.run(ctx)
	f.Run(ctx)
}

// gapPerNode is the pause between two readings of the directory for each node that
// there is: every node reads every change, and where all start or stop together there
// are as many changes as nodes. All nodes together read it 2,000 times a second at most;
// of 300, each learns of a change 0.15 s later at most.
const gapPerNode = 500 * time.Microsecond

// followGap returns the pause between two readings.
func (d *Directory) followGap() time.Duration {
	v, _ := d.View()
	if v == nil {
		return 0
	}
	return time.Duration(len(v.Nodes)) * gapPerNode
}

// Age returns how long ago the directory was read in the store.
func (d *Directory) Age() time.Duration { return d.follower.Age() }

// Merge takes over what another node knows of the directory: of the nodes where that has
// read more of it, and of owners what is newer.
func (d *Directory) Merge(v *View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil || v.End <= d.view.End && !d.view.outdatedBy(v) {
		return
	}
	next := &View{Nodes: v.Nodes, Pools: make(map[string]Ownership, len(v.Pools)), End: v.End}
	if v.End <= d.view.End {
		next.Nodes, next.End = d.view.Nodes, d.view.End
	}
	for _, pools := range []map[string]Ownership{d.view.Pools, v.Pools} {
		for _, o := range pools {
			next.learn(o)
		}
	}
	d.set(next)
}

// outdatedBy reports whether another view knows a newer owner of a pool.
func (v *View) outdatedBy(o *View) bool {
	for pool, newer := range o.Pools {
		if newer.Epoch > v.Pools[pool].Epoch {
			return true
		}
	}
	return false
}

// View returns the newest view, nil before the first, and a channel that is
// closed with the next change.
func (d *Directory) View() (*View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.view, d.changed
}

// apply takes records into a new view.
func (d *Directory) apply(records []port.Record, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := &View{Nodes: make(map[string]Node), Pools: make(map[string]Ownership)}
	if d.view != nil {
		if !whole {
			for k, n := range d.view.Nodes {
				next.Nodes[k] = n
			}
		}
		for k, o := range d.view.Pools {
			next.Pools[k] = o
		}
		next.End = d.view.End
	}
	for _, r := range records {
		next.End = max(next.End, r.Offset+1)
		if err := next.take(r); err != nil {
			d.Logger.Warn().Str("event", "directory").Str("key", r.Key).Err(err).Msg("a record can't be read and is passed over")
		}
	}
	d.set(next)
}

// set makes a view the newest. The lock is held.
func (d *Directory) set(v *View) {
	d.logChanges(v)
	d.view = v
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
}

// logChanges logs what a view says that the one before did not. The lock is held.
func (d *Directory) logChanges(next *View) {
	var last View
	if d.view != nil {
		last = *d.view
	}
	for name, n := range next.Nodes {
		if last.Nodes[name] != n {
			d.Logger.Info().Str("event", "directory").Str("node", name).Str("address", n.Address).Uint64("life", n.Incarnation).
				Uint64("end", next.End).Str("outcome", "present").Msg("a node is known")
		}
	}
	for name, n := range last.Nodes {
		if _, there := next.Nodes[name]; !there {
			d.Logger.Info().Str("event", "directory").Str("node", name).Uint64("life", n.Incarnation).
				Uint64("end", next.End).Str("outcome", "absent").Msg("a node is known no longer")
		}
	}
	for pool, o := range next.Pools {
		if last.Pools[pool] != o {
			d.Logger.Info().Str("event", "directory").Str("of", pool).Int("slot", o.Slot).Uint64("epoch", o.Epoch).
				Str("node", o.Node).Uint64("end", next.End).Str("outcome", "owned").Msg("a pool's owner is known")
		}
	}
}

// take takes one record into a view that is being made.
func (v *View) take(r port.Record) error {
	if name, isNode := strings.CutPrefix(r.Key, keyNode); isNode {
		if len(r.Value) == 0 {
			delete(v.Nodes, name)
			return nil
		}
		var n Node
		if err := codec.Unmarshal(r.Value, &n); err != nil {
			return err
		}
		if n.Incarnation >= v.Nodes[name].Incarnation {
			v.Nodes[name] = n
		}
		return nil
	}
	if _, isPool := strings.CutPrefix(r.Key, keyPool); !isPool || len(r.Value) == 0 {
		return nil
	}
	var o Ownership
	if err := codec.Unmarshal(r.Value, &o); err != nil {
		return err
	}
	v.learn(o)
	return nil
}

// learn takes an ownership unless a newer one is known: a record may have been
// written late.
func (v *View) learn(o Ownership) bool {
	known, has := v.Pools[o.Pool]
	if has && o.Epoch < known.Epoch {
		return false
	}
	v.Pools[o.Pool] = o
	return true
}

// Observe takes an ownership that was heard of elsewhere.
func (d *Directory) Observe(o Ownership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil {
		return
	}
	if known, has := d.view.Pools[o.Pool]; has && o.Epoch <= known.Epoch {
		return
	}
	next := *d.view
	next.Pools = make(map[string]Ownership, len(d.view.Pools)+1)
	for k, p := range d.view.Pools {
		next.Pools[k] = p
	}
	next.learn(o)
	d.set(&next)
}

// run enters this node and does so again where its entry is gone. Where a later
// life of the node is entered, this one has been replaced.
func (d *Directory) run(ctx context.Context) {
	for ctx.Err() == nil {
		v, changed := d.View()
		if v != nil && !d.isLeaving() && v.Nodes[d.Self.Name].Incarnation < d.Self.Incarnation {
			if err := d.enter(ctx); err != nil {
				d.Logger.Warn().Str("event", "directory").Err(err).Msg("this node could not be entered")
				changed = nil
			}
		}
		var again <-chan time.Time
		if changed == nil {
			again = d.Clock.After(enterRetry)
		}
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
		}
	}
}

// enterRetry is the pause before this node is entered again after a failure.
const enterRetry = 200 * time.Millisecond

func (d *Directory) enter(ctx context.Context) error {
	value, err := codec.Marshal(d.Self)
	if err != nil {
		return err
	}
	return d.Store.Put(ctx, Partition, []port.Record{{Key: keyNode + d.Self.Name, Value: value}})
}

func (d *Directory) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// Leave takes this node's entry away.
func (d *Directory) Leave(ctx context.Context) error {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	return d.Remove(ctx, d.Self.Name)
}

// Remove takes a node's entry away; a node that is present enters itself again.
func (d *Directory) Remove(ctx context.Context, name string) error {
	return d.Store.Put(ctx, Partition, []port.Record{{Key: keyNode + name}})
}

// Publish tells all nodes of an ownership.
func (d *Directory) Publish(ctx context.Context, o Ownership) error {
	d.Observe(o)
	value, err := codec.Marshal(o)
	if err != nil {
		return err
	}
	return d.Store.Put(ctx, Partition, []port.Record{{Key: keyPool + o.Pool, Value: value}})
}

// AssignSlot returns the slot of a pool's partition, and gives the lowest free ones to
// all of the named pools that have none. A slot is never given twice: it is given
// under the condition that nothing has come since the view was read.
func (d *Directory) AssignSlot(ctx context.Context, pool string, all []string) (int, error) {
	v, _ := d.View()
	if v == nil {
		return 0, errkind.New(errkind.LogUnavailable, "the directory has not been read")
	}
	if o, known := v.Pools[pool]; known {
		return o.Slot, nil
	}
	free := v.freeSlots()
	var records []port.Record
	slot := 0
	for _, name := range all {
		if _, known := v.Pools[name]; known {
			continue
		}
		o := Ownership{Pool: name, Slot: free()}
		if name == pool {
			slot = o.Slot
		}
		value, err := codec.Marshal(o)
		if err != nil {
			return 0, err
		}
		records = append(records, port.Record{Key: keyPool + name, Value: value})
	}
	_, err := d.Store.AppendAt(ctx, Partition, v.End, records)
	return slot, err
}

// freeSlots returns what yields the free slots, the lowest first.
func (v *View) freeSlots() func() int {
	taken := make(map[int]bool)
	for _, o := range v.Pools {
		taken[o.Slot] = true
	}
	next := 0
	return func() int {
		for taken[next] {
			next++
		}
		next++
		return next - 1
	}
}
