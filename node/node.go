// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/adapters/noderpc"
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/fleet"
	"github.com/yardbridge/yardbridge/services/follow"
	"github.com/yardbridge/yardbridge/services/gateway"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/monitor"
	"github.com/yardbridge/yardbridge/services/owner"
	"github.com/yardbridge/yardbridge/services/ownership"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// Ports are the outside systems that a node uses.
type Ports struct {
	Store     port.Store
	Feeds     port.Feeds
	Workers   port.Workers
	Instances port.Instances
	Advisor   port.Advisor
	// Listen and Dial connect nodes; nil does over TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// OnUnresponsive is told of each connection to a node that was found silent; nil tells nobody.
	OnUnresponsive func(address string, after time.Duration)
	// Count adds one to a counter; nil counts nothing.
	Count func(counter string)
}

// Node is one node; New makes it and Run brings it to life.
type Node struct {
	Setting   setting.Node // as at the start
	Ports     Ports
	Clock     clock.Clock
	Logger    log.Logger
	Directory *directory.Directory
	Gateway   *gateway.Gateway
	Ownership *ownership.Manager

	hurry   chan struct{} // the list of workers is needed now
	monitor *monitor.Monitor
	client  *noderpc.Client
	probes  *noderpc.Client // of its own, so that no call holds up a probe
	server  *noderpc.Server

	operatorFeed follow.Follower
	unread       sync.Map     // names of entries among the workers that were told as unreadable
	catching     atomic.Bool  // another node is being asked for news
	answered     atomic.Int64 // when another node answered a probe last, in nanoseconds since 1970

	mu      sync.Mutex
	newer   *setting.NodeBounds    // the bounds of newer settings, nil for none
	said    map[string]port.Record // what the operators said last beside the configuration, by key
	workers map[worker.ID]worker.Worker
	starts  map[worker.ID]bool      // ids whose entries have told a start, and whether one without has been logged since
	owners  map[string]*owner.Owner // of pools, by name
	waves   []wave.Wave
	stop    bool
}

// New puts a node together; it opens its address for other nodes, but does
// nothing else yet.
func New(s setting.Node, ports Ports, c clock.Clock, logger log.Logger) (*Node, error) {
	n := &Node{Setting: s, Ports: ports, Clock: c, Logger: logger, workers: make(map[worker.ID]worker.Worker), starts: make(map[worker.ID]bool), owners: make(map[string]*owner.Owner), said: make(map[string]port.Record), hurry: make(chan struct{}, 1)}
	n.client = &noderpc.Client{Logger: logger, Dial: ports.Dial, OnUnresponsive: ports.OnUnresponsive}
	n.probes = &noderpc.Client{Logger: logger, Dial: ports.Dial, OnUnresponsive: ports.OnUnresponsive}
	n.server = &noderpc.Server{Logger: logger, Methods: n.methods(), OpenListener: ports.Listen}
	if _, err := n.server.Listen(s.PeerAddress()); err != nil {
		return nil, err
	}
	n.Directory = &directory.Directory{
		Store: ports.Store, Clock: c, Logger: logger,
		Self: directory.Node{
			Name: s.Node.Name, Address: s.PeerAddress(), Incarnation: uint64(c.Now().UnixNano()),
			Cores: s.Node.Cores, DataCenter: s.Node.DataCenter, LinkMbps: s.Node.LinkMbps,
		},
	}
	n.Gateway = &gateway.Gateway{Directory: n.Directory, Clock: c, Logger: logger, Local: n.local, Remote: n.remote, OnOutdated: n.outdated}
	n.Ownership = &ownership.Manager{
		Directory: n.Directory, Clock: c, Logger: logger,
		Config: n.Gateway.Config, Roles: duties, Open: n.open, ProbeTakeOver: n.offer, RequestTakeOver: n.take,
	}
	n.monitor = &monitor.Monitor{Directory: n.Directory, Clock: c, Logger: logger, Probe: n.probe, ProbeVia: n.ask}
	return n, nil
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){
		n.server.Run, n.Directory.Run, n.monitor.Run, n.Ownership.Run, n.followOperators, n.followWorkers,
	} {
		tasks.Go(func() { run(ctx) })
	}
	tasks.Wait()
	n.client.Close()
	n.probes.Close()
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool {
	v, _ := n.Directory.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stop && v != nil && n.Gateway.Config() != nil
}

// HandOver gives the node's pools to others and makes it not ready.
func (n *Node) HandOver(ctx context.Context) {
	n.mu.Lock()
	n.stop = true
	n.mu.Unlock()
	n.Ownership.HandOver(ctx)
	if err := n.Directory.Leave(ctx); err != nil {
		n.Logger.Warn().Str("event", "stop").Err(err).Msg("this node's entry could not be taken away")
	}
}

// partition returns where the pool of a slot is kept.
func (n *Node) partition(slot int) port.Partition {
	parts := n.Setting.Platform.Partitions
	return port.Partition{Topic: fmt.Sprintf("keyed.pools%d", slot/parts), Index: slot % parts}
}

// spareTopics is how many topics hold spare partitions: the store takes 100 topics, and the
// pools' own are as many.
const spareTopics = 40

// spare returns where the pool of a slot is kept while its partition does not answer: as far
// from it as the partitions' numbers allow, since those of one place may be away together.
// Slots beyond what the store's topics hold have none.
func (n *Node) spare(slot int) port.Partition {
	parts := n.Setting.Platform.Partitions
	if slot/parts >= spareTopics {
		return port.Partition{}
	}
	return port.Partition{Topic: fmt.Sprintf("keyed.spares%d", slot/parts), Index: (slot + parts/2) % parts}
}

// spareShare is how much of each second one duty has for asking its spare partition: all together
// make 100 calls a second at most, of some 1,000 that the store takes.
const spareShare = 10 * time.Millisecond

// sparePeriod returns how often a duty asks its spare partition whether it answers.
func (n *Node) sparePeriod() time.Duration {
	c := n.Gateway.Config()
	if c == nil {
		return 0
	}
	return time.Duration(len(duties(c))) * spareShare
}

// fleetDuty is the duty for the instances of all pools; a pool has another name.
const fleetDuty = "!fleet"

// duties returns the pools that run tasks, and the duty for instances.
func duties(c *config.Config) []string {
	list := []string{fleetDuty}
	for _, p := range c.Pools {
		if !p.Headroom {
			list = append(list, p.Name)
		}
	}
	return list
}

// open returns a tenant for a duty.
func (n *Node) open(duty string, slot int) *ownership.RoleRunner {
	logger := n.Logger.With().Str("pool", duty).Logger()
	j := &journal.Journal{
		Partition: n.partition(slot), Standby: n.spare(slot), StandbyProbePeriod: n.sparePeriod(), Store: n.Ports.Store, Clock: n.Clock, Logger: logger,
		Count: n.Ports.Count,
	}
	if duty == fleetDuty {
		return n.openFleet(j, logger)
	}
	return n.openPool(duty, j, logger)
}

// openPool returns the tenant that runs a pool.
func (n *Node) openPool(pool string, j *journal.Journal, logger log.Logger) *ownership.RoleRunner {
	b := n.bounds()
	o := &owner.Owner{
		Pool: pool, Journal: j, Workers: n.Ports.Workers, Advisor: n.Ports.Advisor,
		Limits: scheduler.Limits{
			Lease: min(lease, b.MaxLease.Std()), MaxLease: b.MaxLease.Std(), StopTime: b.StopTime.Std(), Retention: b.StatusRetention.Std(), RemoteFactor: b.RemoteSlowdown,
		},
		Clock: n.Clock, Logger: logger, NoPeers: n.alone, Count: n.Ports.Count,
	}
	run := func(ctx context.Context) error {
		n.setOwner(pool, o)
		defer n.setOwner(pool, nil)
		n.inform(ctx, o)
		return o.Run(ctx)
	}
	return &ownership.RoleRunner{Claim: o.Claim, Run: run, Stuck: j.IsStuck, Epoch: o.Epoch, Done: o.Done}
}

// openFleet returns the tenant that decides on instances.
func (n *Node) openFleet(j *journal.Journal, logger log.Logger) *ownership.RoleRunner {
	b := n.bounds()
	m := &fleet.Manager{
		Journal: j, Instances: n.Ports.Instances, Clock: n.Clock, Logger: logger,
		Limits: fleet.Limits{MaintenanceTime: b.MaintenanceTime.Std(), HolderLease: b.HolderLease.Std()},
		Config: n.Gateway.Config, Waves: n.waveList, RequestReport: n.report, UpdateAllowances: n.allow,
		ReportWave: func(ctx context.Context, wave int, done bool) error {
			return n.Ports.Feeds.ReportWave(ctx, n.Ports.Store, wave, done)
		},
	}
	return &ownership.RoleRunner{Claim: m.Claim, Run: m.Run, Stuck: j.IsStuck, Epoch: m.Epoch, Done: m.Done}
}

// owner returns the owner of a pool on this node, nil for none.
func (n *Node) owner(pool string) *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[pool]
}

func (n *Node) setOwner(pool string, o *owner.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o == nil {
		delete(n.owners, pool)
		return
	}
	n.owners[pool] = o
	select {
	case n.hurry <- struct{}{}:
	default:
	}
}

// ownerList returns the owners of pools on this node.
func (n *Node) ownerList() []*owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.owners))
}

// inform gives an owner what the node knows.
func (n *Node) inform(ctx context.Context, o *owner.Owner) {
	if c := n.Gateway.Config(); c != nil {
		o.Configure(c)
	}
	n.mu.Lock()
	list := slices.Collect(maps.Values(n.workers))
	n.mu.Unlock()
	o.UpdateWorkers(ctx, list, true)
}

// waveList returns the waves that the operators have asked for.
func (n *Node) waveList() []wave.Wave {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.waves)
}

// takeWave takes a wave of the operators.
func (n *Node) takeWave(w wave.Wave) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := slices.IndexFunc(n.waves, func(o wave.Wave) bool { return o.Number == w.Number })
	if at >= 0 {
		n.waves[at] = w
		return
	}
	n.waves = append(n.waves, w)
}

// followOperators follows the operators' configuration.
func (n *Node) followOperators(ctx context.Context) {
	f := &n.operatorFeed
	f.Store, f.Partition, f.Clock, f.Logger = n.Ports.Store, n.Ports.Feeds.Operators, n.Clock, n.Logger
	f.Wait, f.Apply = operatorsWait, n.operators
	f.Run(ctx)
}

// operators takes records of the operators.
func (n *Node) operators(records []port.Record, _ bool) {
	for _, r := range records {
		c, err := n.Ports.Feeds.DecodeConfig(r)
		if err != nil {
			n.Logger.Error().Str("event", "config").Uint64("offset", r.Offset).Err(err).Msg("a configuration can't be read and is passed over")
			continue
		}
		if c != nil {
			n.configure(c)
			continue
		}
		n.keep(r)
		w, isWave, err := n.Ports.Feeds.DecodeWave(r)
		if err != nil {
			n.Logger.Error().Str("event", "wave").Uint64("offset", r.Offset).Err(err).Msg("a wave can't be read and is passed over")
			continue
		}
		if isWave {
			n.takeWave(w)
		}
	}
}

// keep keeps a record of the operators for nodes that can't read it themselves. Of a
// configuration only what was read from it is kept, since its record has the customers' keys.
func (n *Node) keep(r port.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Offset >= n.said[r.Key].Offset {
		n.said[r.Key] = r
	}
}

func (n *Node) configure(c *config.Config) {
	if !n.Gateway.ApplyConfig(c) {
		return
	}
	n.Logger.Info().Str("event", "config").Uint64("version", c.Version).Int("queues", len(c.Queues)).Int("pools", len(c.Pools)).Int("customers", len(c.Customers)).
		Str("outcome", "in force").Msg("a configuration is taken over")
	for _, o := range n.ownerList() {
		o.Configure(c)
	}
}

// followWorkers follows the platform's list of workers.
func (n *Node) followWorkers(ctx context.Context) {
	f := follow.Follower{
		Store: n.Ports.Store, Partition: n.Ports.Feeds.Workers, Clock: n.Clock, Logger: n.Logger,
		Gap: func() time.Duration { return workersGap }, Wake: n.hurry, Idle: n.ownsNoPool,
		Apply: func(records []port.Record, whole bool) { n.list(ctx, records, whole) },
	}
	f.Run(ctx)
}

// ownsNoPool reports whether no pool of this node needs the list of workers. Each of
// them changes its entry every second or two: read by every node, the list of 3,000
// takes more than all reading that the store bears.
func (n *Node) ownsNoPool() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.owners) == 0
}

// list takes records of the platform's list of workers. An entry that can't be read,
// or that lacks what a worker says of itself, may be another writer's: it names no
// worker to use, and what an earlier one said is told no longer.
func (n *Node) list(ctx context.Context, records []port.Record, whole bool) {
	newest := make(map[worker.ID]*worker.Worker, len(records)) // nil for one that is gone
	removed := make(map[worker.ID]bool)
	for _, r := range records {
		id := worker.ID(r.Key)
		newest[id], removed[id] = n.decodeWorker(r), len(r.Value) == 0
	}
	var seen []worker.Worker
	var gone []worker.ID
	n.mu.Lock()
	if whole {
		clear(n.workers)
		maps.DeleteFunc(n.starts, func(id worker.ID, _ bool) bool { _, listed := newest[id]; return !listed })
	}
	for id, w := range newest {
		if removed[id] {
			delete(n.starts, id)
		}
		if w == nil || n.lacksStart(w) {
			delete(n.workers, id)
			gone = append(gone, id)
			continue
		}
		n.workers[id] = *w
		seen = append(seen, *w)
	}
	n.mu.Unlock()
	for _, o := range n.ownerList() {
		o.UpdateWorkers(ctx, seen, whole)
		if !whole && len(gone) > 0 {
			o.UnlistWorkers(gone)
		}
	}
}

// lacksStart reports whether an entry does not tell the start of its worker though an earlier
// one has, since that was last removed. The lock is held.
func (n *Node) lacksStart(w *worker.Worker) bool {
	logged, known := n.starts[w.ID]
	switch {
	case w.StartedAt > 0:
		n.starts[w.ID] = false
		return false
	case !known:
		return false
	case !logged:
		n.starts[w.ID] = true
		n.Logger.Error().Str("event", "worker").Str("worker", string(w.ID)).Uint64("offset", w.Revision).Str("outcome", "not used").
			Msg("an entry lacks the start that its worker has told before, and names no worker to use")
	}
	return true
}

// decodeWorker returns the worker that an entry names, nil for none.
func (n *Node) decodeWorker(r port.Record) *worker.Worker {
	if len(r.Value) == 0 {
		return nil
	}
	w, err := n.Ports.Feeds.DecodeWorker(r)
	if err == nil {
		w.Revision = r.Offset
		n.unread.Delete(r.Key)
		return &w
	}
	if _, told := n.unread.Swap(r.Key, true); !told {
		n.Logger.Error().Str("event", "worker").Str("worker", r.Key).Uint64("offset", r.Offset).Err(err).Str("outcome", "not used").
			Msg("an entry among the workers names no worker to use")
	}
	return nil
}
