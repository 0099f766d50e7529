// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/resource"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/follow"
	"github.com/yardbridge/yardbridge/services/port"
)

// Partition is the partition of the store that contains the directory.
var Partition = port.Partition{Topic: "keyed.nodes"}

// The prefixes of the directory's keys.
const (
	keyNode  = "n/"
	keyPool  = "o/"
	keyQueue = "q/"
)

// Node is one process of yardbridge.
type Node struct {
	Name        string  `cbor:"1,keyasint"`
	Address     string  `cbor:"2,keyasint"`             // for other nodes
	Incarnation uint64  `cbor:"3,keyasint" json:"Life"` // of the process; a later one of the same name has a higher one
	Cores       float64 `cbor:"4,keyasint"`
	DataCenter  string  `cbor:"5,keyasint"`
	LinkMbps    float64 `cbor:"6,keyasint,omitempty"` // of its network link, 0 if not set
	MemoryMB    int64   `cbor:"7,keyasint,omitempty"` // of the process, 0 if unknown
	Descriptors int     `cbor:"8,keyasint,omitempty"` // that the process may have open, 0 if unknown
	// First is the offset after the entry with which a process of this name registered first, without an interruption
	// since then; 0 in that entry.
	First uint64 `cbor:"9,keyasint,omitempty"`
	// KeepsPeriods reports whether the process keeps when a node was registered as it removes its entry.
	KeepsPeriods bool `cbor:"10,keyasint,omitempty" json:"KeepsPeriods,omitempty"`
}

// Limits returns the node's limits.
func (n Node) Limits() resource.Amount {
	return resource.Amount{Cores: n.Cores, MemoryMB: float64(n.MemoryMB), Descriptors: float64(n.Descriptors), LinkMbps: n.LinkMbps}
}

// coresPerMbit is the CPU load in cores that corresponds to a megabit per second: a run takes some
// 0.5 ms of a core and 5 kB, for its specification and the messages about it.
const coresPerMbit = 0.0125

// minCapacity is the capacity of a node that does not state its cores.
const minCapacity = 0.01

// Capacity returns the capacity of a node in cores: its own cores, or those that correspond to its
// link if that is less.
func (n Node) Capacity() float64 {
	capacity := n.Cores
	if n.LinkMbps > 0 {
		capacity = min(capacity, n.LinkMbps*coresPerMbit)
	}
	return max(capacity, minCapacity)
}

// Ownership states which node owns a pool, and which slot the pool's partition has.
type Ownership struct {
	Pool        string `cbor:"1,keyasint"`
	Slot        int    `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	Node        string `cbor:"4,keyasint"`             // "" for none yet
	Incarnation uint64 `cbor:"5,keyasint" json:"Life"` // of the node's process
	// Size is how many workers the pool has had at most, or instances for the role that decides on these, as
	// published when other nodes could carry it; 0 if unknown.
	Size int `cbor:"6,keyasint,omitempty"`
	// From and Read are the reading that the owner has stated in its claim; 0 if unknown.
	From uint64 `cbor:"7,keyasint,omitempty"`
	Read uint64 `cbor:"8,keyasint,omitempty"`
}

// View is the content of the directory at one time; it is immutable.
type View struct {
	Nodes  map[string]Node
	Pools  map[string]Ownership
	Queues map[string][]string // pools that queues have been assigned to, in order, by the queue's key; see queues.go
	End    uint64              // offset of the partition up to which it was read
	// Readings are what processes state of their readings of the directory, by node, and Earlier is what was
	// registered of nodes that were removed, both complete up to the offset Through.
	Readings map[string]Reading
	Earlier  map[string]Earlier
	Through  uint64
}

// Owner returns the node that owns a pool, and false if there is none or its process is not
// registered.
func (v *View) Owner(pool string) (Node, Ownership, bool) {
	o, known := v.Pools[pool]
	n, present := v.Nodes[o.Node]
	return n, o, known && present && n.Incarnation == o.Incarnation
}

// owns reports whether an incarnation of a node owns a pool.
func (v *View) owns(name string) bool {
	for _, o := range v.Pools {
		if o.Node == name {
			return true
		}
	}
	return false
}

// Directory is one node's view of the directory, and its entry there; its fields are set before
// Run.
type Directory struct {
	Store  port.Store
	Clock  clock.Clock
	Logger log.Logger
	Self   Node
	// MaxWait is how long a read waits for new records while there are none, 0 for followWait.
	MaxWait time.Duration
	// Reclaim is called once, before this incarnation of the node registers, with the first view; nil
	// for nothing to do.
	Reclaim func(ctx context.Context, v *View)

	mu      sync.Mutex
	view    *View
	changed chan struct{} // closed at the next change
	leaving bool
	removed map[string]removedNode // nodes that are remembered though they were removed, by name
	horizon uint64                 // offset from which on removed nodes are remembered
	floor   uint64                 // offset from which on all changes were read one by one

	follower follow.Follower
}

// followWait is how long a read of the directory waits for new records at least. A record that arrives while
// a read begins was observed to be returned by the next read only.
const followWait = time.Second

// Run follows the directory until the context ends, and keeps this node registered there.
func (d *Directory) Run(ctx context.Context) {
	f := &d.follower
	f.Store, f.Partition, f.Clock, f.Logger = d.Store, Partition, d.Clock, d.Logger
	f.Wait, f.MaxWait, f.Gap, f.Apply = followWait, d.MaxWait, d.followGap, d.apply
	go d.keepRegistered(ctx)
	f.Run(ctx)
}

// gapPerNode is the pause between two reads of the directory per registered node: every node reads
// every change, and if all nodes start or stop together there are as many changes as nodes. All
// nodes together read at most 2,000 times a second; of 300 nodes, each sees a change at most 0.15 s
// later.
const gapPerNode = 500 * time.Microsecond

// followGap returns the pause between two reads.
func (d *Directory) followGap() time.Duration {
	v, _ := d.View()
	if v == nil {
		return 0
	}
	return time.Duration(len(v.Nodes)) * gapPerNode
}

// Age returns how long ago the directory was read from the store.
func (d *Directory) Age() time.Duration { return d.follower.Age() }

// RequestAge returns how long ago the last read of the directory from the store was requested.
func (d *Directory) RequestAge() time.Duration { return d.follower.RequestAge() }

// Merge merges another node's view of the directory: its nodes if that node has read further, and
// its newer owners.
func (d *Directory) Merge(v *View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil || v.End <= d.view.End && !d.view.outdatedBy(v) {
		return
	}
	next := &View{Nodes: v.Nodes, Pools: make(map[string]Ownership, len(v.Pools)), Queues: mergeQueues(d.view.Queues, v.Queues), End: v.End}
	if v.End <= d.view.End {
		next.Nodes, next.End = d.view.Nodes, d.view.End
	}
	next.mergeKnown(d.view, v)
	if v.End > d.view.End {
		d.noteSkipped(next)
	}
	for _, pools := range []map[string]Ownership{d.view.Pools, v.Pools} {
		for _, o := range pools {
			next.update(o)
		}
	}
	d.setView(next, nil)
}

// outdatedBy reports whether another view has a newer owner of a pool.
func (v *View) outdatedBy(o *View) bool {
	for pool, newer := range o.Pools {
		if newer.Epoch > v.Pools[pool].Epoch {
			return true
		}
	}
	return false
}

// View returns the newest view, nil before the first, and a channel that is closed at the next
// change.
func (d *Directory) View() (*View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.view, d.changed
}

// apply applies records to a new view.
func (d *Directory) apply(records []port.Record, end uint64, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := &View{Nodes: make(map[string]Node), Pools: make(map[string]Ownership)}
	var last View
	if d.view != nil {
		last = *d.view
	}
	if !complete {
		maps.Copy(next.Nodes, last.Nodes)
	}
	maps.Copy(next.Pools, last.Pools)
	next.Queues, next.End = last.Queues, last.End
	next.mergeKnown(&last, &View{})
	if slices.ContainsFunc(records, isQueueRecord) {
		next.Queues = maps.Clone(next.Queues)
	}
	removed := make(map[string]Node) // since the newest view
	for _, r := range records {
		next.End = max(next.End, r.Offset+1)
		name, isNode := strings.CutPrefix(r.Key, keyNode)
		if isNode && !complete && r.Offset < last.End {
			continue // the nodes of another node's view, which has read further, were merged
		}
		if n, registered := next.Nodes[name]; isNode && registered && len(r.Value) == 0 {
			removed[name] = n
		}
		if err := next.applyRecord(r, complete); err != nil {
			d.Logger.Warn().Str("event", "directory").Str("key", r.Key).Err(err).Msg("directory record can't be read and is skipped")
		}
	}
	next.End, next.Through = max(next.End, end), max(next.Through, end)
	if complete { // the records after this offset are read again, one by one
		next.noteInterruptions(records)
		next.End = end
		d.noteSkipped(next)
	}
	d.setView(next, removed)
}

// setView makes a view the newest, before which nodes were registered and removed. The lock is held.
func (d *Directory) setView(v *View, removed map[string]Node) {
	d.noteRemoved(v, removed)
	d.logChanges(v)
	d.view = v
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
}

// logChanges logs the differences between the newest view and the next one. The lock is held.
func (d *Directory) logChanges(next *View) {
	var last View
	if d.view != nil {
		last = *d.view
	}
	var present, absent []string
	for name, n := range next.Nodes {
		if last.Nodes[name] != n {
			present = append(present, name)
		}
	}
	for name := range last.Nodes {
		if _, is := next.Nodes[name]; !is {
			absent = append(absent, name)
		}
	}
	d.logNodes(next, present, "present", "nodes are registered")
	d.logNodes(next, absent, "absent", "nodes are no longer registered")
	for pool, o := range next.Pools {
		if last.Pools[pool] != o {
			d.Logger.Info().Str("event", "directory").Str("of", pool).Int("slot", o.Slot).Uint64("epoch", o.Epoch).
				Str("node", o.Node).Uint64("end", next.End).Str("outcome", "owned").Msg("owner of a pool changed")
		}
	}
}

// loggedNodes is how many names a log line contains: where all nodes start together, each would
// otherwise log each.
const loggedNodes = 8

// logNodes logs which nodes have come or gone, some of them by name.
func (d *Directory) logNodes(next *View, names []string, outcome, message string) {
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	incarnations := make([]uint64, 0, loggedNodes)
	named := names[:min(len(names), loggedNodes)]
	for _, name := range named {
		incarnations = append(incarnations, max(next.Nodes[name].Incarnation, d.incarnation(name)))
	}
	d.Logger.Info().Str("event", "directory").Int("count", len(names)).Strs("nodes", named).Uints64("lives", incarnations).
		Int("registered", len(next.Nodes)).Uint64("end", next.End).Str("outcome", outcome).Msg(message)
}

// incarnation returns the incarnation of a node in the newest view, 0 for none. The lock is held.
func (d *Directory) incarnation(name string) uint64 {
	if d.view == nil {
		return 0
	}
	return d.view.Nodes[name].Incarnation
}

// applyRecord applies one record to a view that is being built, from all newest records or from those added.
func (v *View) applyRecord(r port.Record, complete bool) error {
	if name, isNode := strings.CutPrefix(r.Key, keyNode); isNode {
		if len(r.Value) == 0 {
			delete(v.Nodes, name)
			return nil
		}
		var n Node
		if err := codec.Unmarshal(r.Value, &n); err != nil {
			return err
		}
		if !n.valid(name) {
			return errkind.New(errkind.BadRequest, "entry of a node named %.60q has another name, or limits that are no numbers from 0 on", n.Name)
		}
		last, registered := v.Nodes[name]
		if n.First == 0 || !complete && !registered { // its earlier entry was removed before this one was written
			n.First = r.Offset + 1
		}
		n.First = max(n.First, last.First) // a late entry may state an offset from before an interruption
		if n.Incarnation >= last.Incarnation {
			v.Nodes[name] = n
		}
		return nil
	}
	if queue, isQueue := strings.CutPrefix(r.Key, keyQueue); isQueue {
		return v.applyQueue(queue, r.Value)
	}
	if known, err := v.applyKnown(r); known {
		return err
	}
	pool, isPool := strings.CutPrefix(r.Key, keyPool)
	if !isPool || len(r.Value) == 0 {
		return nil
	}
	var o Ownership
	if err := codec.Unmarshal(r.Value, &o); err != nil {
		return err
	}
	if o.Pool != pool || o.Slot < 0 {
		return errkind.New(errkind.BadRequest, "entry of pool %.60q at slot %d has another name, or a slot below 0", o.Pool, o.Slot)
	}
	v.update(o)
	return nil
}

// valid reports whether an entry is one that a node of the name writes. A limit that is no number would make every
// comparison of nodes false.
func (n Node) valid(name string) bool {
	for _, limit := range []float64{n.Cores, n.LinkMbps, float64(n.MemoryMB), float64(n.Descriptors)} {
		if math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			return false
		}
	}
	return n.Name == name
}

// update applies an ownership unless a newer one is known: a record may have been written late.
func (v *View) update(o Ownership) bool {
	known, has := v.Pools[o.Pool]
	if has && o.Epoch < known.Epoch {
		return false
	}
	v.Pools[o.Pool] = o
	return true
}

// Observe applies an ownership that was received from elsewhere.
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
	next.update(o)
	d.setView(&next, nil)
}

// keepRegistered registers this node, and does so again if its entry is gone. If a later
// incarnation of the node is registered, this one has been replaced.
func (d *Directory) keepRegistered(ctx context.Context) {
	retry, reclaimed := registerRetry, false
	for ctx.Err() == nil {
		v, changed := d.View()
		if v != nil && !reclaimed && d.Reclaim != nil {
			reclaimed = true
			d.Reclaim(ctx, v)
			d.spreadRegistration(ctx, v)
			continue
		}
		if v != nil && !d.isLeaving() && v.Nodes[d.Self.Name].Incarnation < d.Self.Incarnation {
			if err := d.register(ctx); err != nil {
				d.Logger.Warn().Str("event", "directory").Err(err).Msg("could not register this node")
				changed = nil
			} else {
				retry = registerRetry
			}
		}
		var again <-chan time.Time
		if changed == nil {
			again = d.Clock.After(retry/2 + rand.N(retry))
			retry = min(2*retry, maxRegisterRetry)
		}
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
		}
	}
}

// registrationSpacing is the time in which an append to the directory is done.
const registrationSpacing = 4 * time.Millisecond

// spreadRegistration waits for a random time before a node that has started again registers, so that the
// registrations of many such nodes do not hold up other changes: others reach it by its earlier entry.
// A node that owns pools, or did before, does not wait: its registration tells who owns them, or that
// they need another owner.
func (d *Directory) spreadRegistration(ctx context.Context, v *View) {
	if _, known := v.Nodes[d.Self.Name]; !known || v.owns(d.Self.Name) {
		return
	}
	select {
	case <-d.Clock.After(rand.N(time.Duration(len(v.Nodes)) * registrationSpacing)):
	case <-ctx.Done():
	}
}

// The mean pause after a failed registration, which doubles up to a maximum: where many nodes start
// together, their registrations wait for each other at the store.
const (
	registerRetry    = 200 * time.Millisecond
	maxRegisterRetry = 3200 * time.Millisecond
)

// register writes this node's entry, and with it those of the pools that it owns: if they came later,
// other nodes would claim these pools in between.
func (d *Directory) register(ctx context.Context) error {
	value, err := codec.Marshal(d.registration())
	if err != nil {
		return err
	}
	records := []port.Record{{Key: keyNode + d.Self.Name, Value: value}}
	for _, o := range d.ownPools() {
		r, err := o.record()
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	return d.Store.Put(ctx, Partition, records)
}

// registration returns this node's entry, which continues that of an earlier incarnation.
func (d *Directory) registration() Node {
	v, _ := d.View()
	own := d.Self
	own.KeepsPeriods = true
	if v != nil {
		own.First = v.Nodes[own.Name].First
	}
	return own
}

// ownPools returns the pools that this incarnation of the node owns.
func (d *Directory) ownPools() []Ownership {
	v, _ := d.View()
	var own []Ownership
	for _, o := range v.Pools {
		if o.Node == d.Self.Name && o.Incarnation == d.Self.Incarnation {
			own = append(own, o)
		}
	}
	return own
}

func (d *Directory) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// Leave removes this node's entry.
func (d *Directory) Leave(ctx context.Context) error {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	return d.Remove(ctx, d.Self.Name)
}

// Remove removes a node's entry, and keeps when it was registered; a running node registers again.
func (d *Directory) Remove(ctx context.Context, name string) error {
	v, _ := d.View()
	records, err := v.removal(name)
	if err != nil {
		return err
	}
	return d.Store.Put(ctx, Partition, records)
}

// Publish announces an ownership to all nodes, once this node is registered: an ownership of an
// unregistered incarnation counts as none. The registration announces it as well.
func (d *Directory) Publish(ctx context.Context, o Ownership) error {
	d.Observe(o)
	for {
		v, changed := d.View()
		if d.isLeaving() || v != nil && v.Nodes[d.Self.Name].Incarnation >= d.Self.Incarnation {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.New(errkind.LogUnavailable, "this node is not registered yet")
		}
	}
	r, err := o.record()
	if err != nil {
		return err
	}
	return d.Store.Put(ctx, Partition, []port.Record{r})
}

// PublishSize announces the size of a role that this node owns, unless a record was added to the directory
// since it was read up to an offset: it might tell of a later owner.
func (d *Directory) PublishSize(ctx context.Context, o Ownership, end uint64) error {
	r, err := o.record()
	if err != nil {
		return err
	}
	_, err = d.Store.AppendAt(ctx, Partition, end, []port.Record{r})
	return err
}

// record returns the entry of an ownership.
func (o Ownership) record() (port.Record, error) {
	value, err := codec.Marshal(o)
	return port.Record{Key: keyPool + o.Pool, Value: value}, err
}

// AssignSlot returns the slot of a pool's partition, and assigns the lowest free slots to all of
// the named pools that have none. A slot is never assigned twice: the assignment is conditional on
// no record having been added since the view was read. The same append assigns queues to their pools,
// named by the queues' keys.
func (d *Directory) AssignSlot(ctx context.Context, pool string, all []string, queues map[string]string) (int, error) {
	v, _ := d.View()
	if v == nil {
		return 0, errkind.New(errkind.LogUnavailable, "the directory has not been read yet")
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
		r, err := o.record()
		if err != nil {
			return 0, err
		}
		records = append(records, r)
	}
	assignments, err := v.queueRecords(queues)
	if err != nil {
		return 0, err
	}
	_, err = d.Store.AppendAt(ctx, Partition, v.End, append(records, assignments...))
	return slot, err
}

// freeSlots returns a function that yields the free slots, the lowest first.
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
