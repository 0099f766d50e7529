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

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/adapters/noderpc"
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/resource"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/services/admission"
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

// Ports are the external systems that a node uses.
type Ports struct {
	Store     port.Store
	Feeds     port.Feeds
	Workers   port.Workers
	Instances port.Instances
	Advisor   port.Advisor
	// Listen and Dial connect nodes; nil uses TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// OnUnresponsive is called for each connection to a node that was found unresponsive; nil for
	// no call.
	OnUnresponsive func(address string, after time.Duration)
	// Count increments a counter; nil counts nothing.
	Count func(counter string)
	// Add adds an amount to a counter; nil counts nothing.
	Add func(counter string, amount int64)
	// Observe adds a duration to a histogram and counts its outcome; nil does nothing.
	Observe func(what string, took time.Duration, outcome string)
}

// Node is one node; New creates it and Run starts it.
type Node struct {
	Setting   setting.Node // as at the start
	Ports     Ports
	Clock     clock.Clock
	Logger    log.Logger
	Directory *directory.Directory
	Gateway   *gateway.Gateway
	Ownership *ownership.Manager

	statements  *ownership.Statements
	wakeWorkers chan struct{} // wakes the follower of the workers when the list is needed now
	monitor     *monitor.Monitor
	client      *noderpc.Client
	probes      *noderpc.Client // separate, so that no other call delays a probe
	server      *noderpc.Server

	operators  operatorRecords
	lag        lag
	unreadable sync.Map                       // names of entries of the workers that have been logged as unreadable
	catchingUp atomic.Bool                    // a catch-up request to another node is in progress
	progress   atomic.Pointer[fleet.Progress] // of all pools' instances, while this node holds that role

	jobMemory     *budget.Budget // of the jobs of all pools
	messageMemory *budget.Budget // of calls of other nodes

	mu           sync.Mutex
	newerSetting *setting.Node // settings read since the start, nil for none
	workers      map[worker.ID]worker.Worker
	knownStarts  map[worker.ID]bool      // ids whose entries have stated a start time, and whether an entry without one has been logged since
	owners       map[string]*owner.Owner // of pools, by name
	stopping     bool
}

// JobMemory returns what the accepted jobs of all pools take of the node's memory at most, in bytes.
func (n *Node) JobMemory() int64 { return n.jobMemory.Used() }

// MessageMemory returns what calls of other nodes hold, in bytes.
func (n *Node) MessageMemory() int64 { return n.messageMemory.Used() }

// New assembles a node; it listens on its address for other nodes, but does nothing else yet.
func New(s setting.Node, ports Ports, c clock.Clock, logger log.Logger) (*Node, error) {
	n := &Node{Setting: s, Ports: ports, Clock: c, Logger: logger, workers: make(map[worker.ID]worker.Worker), knownStarts: make(map[worker.ID]bool), owners: make(map[string]*owner.Owner), wakeWorkers: make(chan struct{}, 1)}
	memory := DivideMemory(s)
	n.jobMemory, n.messageMemory = budget.New(memory.Jobs), budget.New(memory.Messages)
	n.client = &noderpc.Client{Logger: logger, Dial: ports.Dial, OnUnresponsive: ports.OnUnresponsive}
	n.probes = &noderpc.Client{Logger: logger, Dial: ports.Dial, OnUnresponsive: ports.OnUnresponsive}
	n.server = &noderpc.Server{Logger: logger, Memory: n.messageMemory, MaxConnections: int64(memory.Nodes), Methods: n.methods(), OpenListener: ports.Listen, OnCall: n.countCall}
	if _, err := n.server.Listen(s.PeerAddress()); err != nil {
		return nil, err
	}
	n.Directory = &directory.Directory{
		Store: ports.Store, Clock: c, Logger: logger,
		Self: directory.Node{
			Name: s.Node.Name, Address: s.PeerAddress(), Incarnation: uint64(c.Now().UnixNano()),
			Cores: s.Node.Cores, DataCenter: s.Node.DataCenter, LinkMbps: s.Node.LinkMbps, MemoryMB: s.Node.MemoryMB, Descriptors: s.Node.Descriptors,
		},
	}
	n.Directory.MaxWait = s.MaxReadWait()
	n.Gateway = &gateway.Gateway{Directory: n.Directory, Clock: c, Logger: logger, Local: n.local, Remote: n.remote, OnOutdated: n.refreshFrom}
	n.Ownership = &ownership.Manager{
		Directory: n.Directory, Clock: c, Logger: logger,
		Config: n.Gateway.Config, Roles: n.roles, Open: n.openRole, ProbeTakeOver: n.offer, RequestTakeOver: n.takeOver,
		Demand: demand, Ask: askBy(n.client), // callers' calls to owners use the same connections
	}
	n.statements = &ownership.Statements{Directory: n.Directory, Clock: c, Unconfirmed: n.Ownership.Unconfirmed, Ask: askBy(n.probes), Count: ports.Count}
	n.Directory.Reclaim = n.Ownership.Reclaim
	n.monitor = &monitor.Monitor{Directory: n.Directory, Clock: c, Logger: logger, Probe: n.probe, ProbeVia: n.probeVia}
	return n, nil
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){
		n.server.Run, n.Directory.Run, n.monitor.Run, n.Ownership.Run, n.statements.Run, n.followOperators, n.followWorkers,
	} {
		tasks.Go(func() { run(ctx) })
	}
	tasks.Wait()
	n.client.Close()
	n.probes.Close()
}

// Ready reports whether callers may be routed to this node.
func (n *Node) Ready() bool {
	v, _ := n.Directory.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping && v != nil && n.Gateway.Config() != nil
}

// HandOver hands the node's pools over to other nodes and makes it not ready.
func (n *Node) HandOver(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.Ownership.HandOver(ctx)
	if err := n.Directory.Leave(ctx); err != nil {
		n.Logger.Warn().Str("event", "stop").Err(err).Msg("could not remove this node's entry from the directory")
	}
}

// partition returns the partition of the pool in a slot.
func (n *Node) partition(slot int) port.Partition {
	parts := n.Setting.Platform.Partitions
	return port.Partition{Topic: fmt.Sprintf("keyed.pools%d", slot/parts), Index: slot % parts}
}

// standbyTopics is how many topics hold standby partitions: the store allows 100 topics, and the
// pools' own are as many.
const standbyTopics = 40

// standbyPartition returns where the pool of a slot is written while its partition does not
// respond: as far from it as the partition numbers allow, since adjacent ones may fail together.
// Slots beyond what the store's topics hold have none.
func (n *Node) standbyPartition(slot int) port.Partition {
	parts := n.Setting.Platform.Partitions
	if slot/parts >= standbyTopics {
		return port.Partition{}
	}
	return port.Partition{Topic: fmt.Sprintf("keyed.spares%d", slot/parts), Index: (slot + parts/2) % parts}
}

// standbyProbePeriodPerRole is how much each role adds to the period at which every role probes its
// standby partition: all roles together make at most 100 calls a second, of some 1,000 that the
// store allows.
const standbyProbePeriodPerRole = 10 * time.Millisecond

// standbyProbePeriod returns how often a role probes its standby partition.
func (n *Node) standbyProbePeriod() time.Duration {
	c := n.Gateway.Config()
	if c == nil {
		return 0
	}
	return time.Duration(len(n.roles(c))) * standbyProbePeriodPerRole
}

// fleetRole is the role that manages the instances of all pools; no pool has this name.
const fleetRole = "!fleet"

// roles returns the pools that run tasks, the role for instances, and the pools that the configuration no longer
// has: their jobs remain, and the pools that their queues have moved to ask for these.
func (n *Node) roles(c *config.Config) []string {
	list, configured := []string{fleetRole}, map[string]bool{fleetRole: true}
	for _, p := range c.Pools {
		if !p.Headroom {
			list, configured[p.Name] = append(list, p.Name), true
		}
	}
	v, _ := n.Directory.View()
	if v == nil {
		return list
	}
	current := len(list)
	for pool := range v.Pools {
		if !configured[pool] {
			list = append(list, pool)
		}
	}
	slices.Sort(list[current:])
	return list
}

// demand returns what a role of a size takes.
func demand(role string, size int) resource.Roles {
	if role == fleetRole {
		return resource.Roles{Count: 1, Instances: size}
	}
	return resource.Roles{Count: 1, Workers: size}
}

// openRole returns the runner of a role.
func (n *Node) openRole(role string, slot int) *ownership.RoleRunner {
	logger := n.Logger.With().Str("pool", role).Logger()
	j := &journal.Journal{
		Partition: n.partition(slot), Standby: n.standbyPartition(slot), StandbyProbePeriod: n.standbyProbePeriod(), Store: n.Ports.Store, Clock: n.Clock, Logger: logger,
		Count: n.Ports.Count,
	}
	if role == fleetRole {
		return n.openFleet(j, logger)
	}
	return n.openPool(role, j, logger)
}

// openPool returns the runner that schedules a pool.
func (n *Node) openPool(pool string, j *journal.Journal, logger log.Logger) *ownership.RoleRunner {
	b, policy := n.bounds(), n.newestSetting().Admission.Policy
	o := &owner.Owner{
		Pool: pool, Journal: j, Workers: n.Ports.Workers, Advisor: n.Ports.Advisor,
		Limits: scheduler.Limits{
			Lease: min(lease, b.MaxLease.Std()), MaxLease: b.MaxLease.Std(), StopTime: b.StopTime.Std(), Retention: b.StatusRetention.Std(), RemoteFactor: b.RemoteSlowdown, SlowStart: n.Setting.Placement.StartShare(),
			NoAhead: n.Setting.Placement.Ahead == setting.PlaceAheadOff,
		},
		Clock: n.Clock, Logger: logger, Unclaimed: n.unclaimed(pool), Count: n.Ports.Count, Observe: n.Ports.Observe,
		SelectPolicy: func(hasCustomers bool) admission.Policy { return admission.Select(policy, hasCustomers) },
		Registry:     n.registry(), Memory: n.jobMemory, Sizes: owner.Sizes{Record: n.Setting.Platform.RecordBytes, Append: n.Setting.Platform.AppendBytes},
	}
	run := func(ctx context.Context) error {
		n.setOwner(pool, o)
		defer n.setOwner(pool, nil)
		n.initOwner(ctx, o)
		return o.Run(ctx)
	}
	return &ownership.RoleRunner{Claim: o.Claim, Terms: &j.Terms, Published: o.NotePublished, Run: run, Stuck: j.IsStuck, PendingFor: j.PendingFor, Confirmed: j.LastConfirmed, Epoch: o.Epoch, Done: o.Done, Size: o.Size}
}

// openFleet returns the runner that manages instances.
func (n *Node) openFleet(j *journal.Journal, logger log.Logger) *ownership.RoleRunner {
	b := n.bounds()
	m := &fleet.Manager{
		Journal: j, Instances: n.Ports.Instances, Clock: n.Clock, Logger: logger,
		Limits: fleet.Limits{
			MaintenanceTime: b.MaintenanceTime.Std(), HolderLease: b.HolderLease.Std(), OrdersPerSecond: n.Setting.Platform.InstanceOrders,
			MoveWorth: n.Setting.Instances.MoveWorth.Std(),
		},
		Config: n.Gateway.Config, Waves: n.operators.waveList, Evacuated: n.operators.evacuations, RequestReport: n.report, UpdateAllowances: n.updateAllowances,
		ReportWave: func(ctx context.Context, wave int, done bool) error {
			return n.Ports.Feeds.ReportWave(ctx, n.Ports.Store, wave, done)
		},
		OnProgress: func(p fleet.Progress) { n.progress.Store(&p) },
	}
	run := func(ctx context.Context) error {
		defer n.progress.Store(&fleet.Progress{})
		return m.Run(ctx)
	}
	return &ownership.RoleRunner{Claim: m.Claim, Terms: &j.Terms, Run: run, Stuck: j.IsStuck, PendingFor: j.PendingFor, Epoch: m.Epoch, Done: m.Done, Size: m.Size}
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
	case n.wakeWorkers <- struct{}{}:
	default:
	}
}

// ownerList returns the owners of pools on this node.
func (n *Node) ownerList() []*owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.owners))
}

// initOwner passes the configuration and the workers to a new owner.
func (n *Node) initOwner(ctx context.Context, o *owner.Owner) {
	if c := n.Gateway.Config(); c != nil {
		o.Configure(c)
	}
	o.SetEvacuated(n.operators.evacuations())
	n.mu.Lock()
	list := slices.Collect(maps.Values(n.workers))
	n.mu.Unlock()
	o.UpdateWorkers(ctx, list, true)
}

func (n *Node) configure(c *config.Config) {
	if !n.Gateway.ApplyConfig(c) {
		return
	}
	n.Logger.Info().Str("event", "config").Uint64("version", c.Version).Int("queues", len(c.Queues)).Int("pools", len(c.Pools)).Int("customers", len(c.Customers)).
		Str("outcome", "in force").Msg("configuration is in force")
	for _, o := range n.ownerList() {
		o.Configure(c)
	}
}

// followWorkers follows the platform's list of workers.
func (n *Node) followWorkers(ctx context.Context) {
	f := follow.Follower{
		Store: n.Ports.Store, Partition: n.Ports.Feeds.Workers, Clock: n.Clock, Logger: n.Logger,
		Gap: func() time.Duration { return workersGap }, Wake: n.wakeWorkers, Idle: n.ownsNoPool,
		Apply: func(records []port.Record, _ uint64, complete bool) { n.applyWorkers(ctx, records, complete) },
	}
	f.Run(ctx)
}

// ownsNoPool reports whether no pool of this node needs the list of workers. Each worker changes
// its entry every second or two: if every node read it, the list of 3,000 workers would take more
// reads than the store can serve.
func (n *Node) ownsNoPool() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.owners) == 0
}

// applyWorkers applies records of the platform's list of workers. An entry that can't be read, or
// that lacks what a worker states of itself, may be another writer's: it names no usable worker,
// and what an earlier entry stated no longer counts.
func (n *Node) applyWorkers(ctx context.Context, records []port.Record, complete bool) {
	newest := make(map[worker.ID]*worker.Worker, len(records)) // nil for a removed worker
	removed := make(map[worker.ID]bool)
	for _, r := range records {
		id := worker.ID(r.Key)
		newest[id], removed[id] = n.decodeWorker(r), len(r.Value) == 0
	}
	var current []worker.Worker
	var removedIDs []worker.ID
	now := n.Clock.Now()
	n.mu.Lock()
	before := n.workers
	if complete {
		n.workers = make(map[worker.ID]worker.Worker, len(newest))
		maps.DeleteFunc(n.knownStarts, func(id worker.ID, _ bool) bool { _, listed := newest[id]; return !listed })
	}
	for id, w := range newest {
		if removed[id] {
			delete(n.knownStarts, id)
		}
		if w == nil || n.lacksStart(w) {
			delete(n.workers, id)
			removedIDs = append(removedIDs, id)
			continue
		}
		var earlier *worker.Worker
		if known, has := before[id]; has {
			earlier = &known
		}
		read := w.WithWarmUp(earlier, now)
		n.workers[id] = read
		current = append(current, read)
	}
	n.mu.Unlock()
	for _, o := range n.ownerList() {
		o.UpdateWorkers(ctx, current, complete)
		if !complete && len(removedIDs) > 0 {
			o.UnlistWorkers(removedIDs)
		}
	}
}

// lacksStart reports whether an entry does not state the start time of its worker although an
// earlier one did since the entry was last removed. The lock is held.
func (n *Node) lacksStart(w *worker.Worker) bool {
	logged, known := n.knownStarts[w.ID]
	switch {
	case w.StartedAt > 0:
		n.knownStarts[w.ID] = false
		return false
	case !known:
		return false
	case !logged:
		n.knownStarts[w.ID] = true
		n.Logger.Error().Str("event", "worker").Str("worker", string(w.ID)).Uint64("offset", w.Revision).Str("outcome", "not used").
			Msg("worker entry lacks the start time that the worker stated before; the worker is not used")
	}
	return true
}

// listensOn reports whether this node listens on an address.
func (n *Node) listensOn(address string) bool {
	s := &n.Setting
	return address != "" && slices.Contains([]string{s.Listen.Callers, s.Listen.Ready, s.PeerAddress(), s.MetricsAddress()}, address)
}

// decodeWorker returns the worker that an entry names, nil for none.
func (n *Node) decodeWorker(r port.Record) *worker.Worker {
	if len(r.Value) == 0 {
		return nil
	}
	w, err := n.Ports.Feeds.DecodeWorker(r)
	if err == nil && n.listensOn(w.Address) {
		err = errors.Errorf("address %s is this node's own", w.Address)
	}
	if err == nil {
		w.Revision = r.Offset
		n.unreadable.Delete(r.Key)
		return &w
	}
	if _, logged := n.unreadable.Swap(r.Key, true); !logged {
		n.Logger.Error().Str("event", "worker").Str("worker", r.Key).Uint64("offset", r.Offset).Err(err).Str("outcome", "not used").
			Msg("worker entry is invalid; the worker is not used")
	}
	return nil
}
