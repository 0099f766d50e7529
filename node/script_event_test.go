// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// scriptEvent is one event of a script. The kinds are:
//
//   - for one node, the nodes of a list, or all if none is named: kill, stop (after a hand-over), suspend,
//     cut (each of them from all other nodes), workers-cut (from the workers), half-cut (from the workers
//     whose number is even, or odd if Half is 1), store-silent, store-refuses, store-lost (a share of the
//     store's responses);
//   - for the nodes of a list: cut-together (from all nodes that are not in the list; they reach each other,
//     and the store and the workers unless other events cut them off); two such events at a time make two
//     groups, and the nodes in neither are a third one;
//   - for one node: join (it first starts at that time, and does not run before), lose (it is killed and does not come back);
//   - for a worker, by its index among those of the pool that are up, or for Count workers from there on:
//     crash, crash-dark (without an answer to calls until it is up again), silent, late, hangs, fails, drain,
//     shrink (to a share of its capacity); crash-rack crashes the workers of a pool in the rack with the
//     number that Worker states;
//   - for the store as all nodes see it: store-slow (a call takes as long as Within states, an append
//     three times as long, one after the other in each partition), parts-refuse, parts-silent (the partition of the pool if one
//     is named, otherwise a share of all partitions that pools and the role for instances may be
//     written to), history (old records are dropped);
//   - wave, limits (of the customers, to a share of the original ones), orders-lost (a share of the
//     responses of instance control), evacuate and cold (the data centre of the rack with the number that
//     Worker states), relist (of ended incarnations), cancel (of the jobs of a pool),
//     silence (of all open connections between nodes);
//   - for the queue that is named like a pool: move (to another pool), drop (for a while, after which it is
//     assigned to the other pool, if one is named), retire (moves it, and removes its pool from the configuration
//     for a while); all of them write versions of the configuration.
type scriptEvent struct {
	At     tomlfile.Duration `toml:"at"`
	Kind   string            `toml:"kind"`
	Node   int               `toml:"node"`  // from 1, 0 for all
	Nodes  []int             `toml:"nodes"` // several nodes, from 1, instead of Node
	Half   int               `toml:"half"`  // of the workers: 0 for even numbers, 1 for odd ones
	Pool   string            `toml:"pool"`
	Worker int               `toml:"worker"`
	Count  int               `toml:"count"` // of the workers, 0 for one
	Apart  tomlfile.Duration `toml:"apart"` // from one of several workers to the next
	For    tomlfile.Duration `toml:"for"`
	Share  float64           `toml:"share"`
	AtOnce int               `toml:"at_once"`
	Within tomlfile.Duration `toml:"within"`
	To     string            `toml:"to"` // pool that a queue moves to
}

// calmAfter is how long after the end of an event its effects may last: a pool that has lost its owner has another one by
// then, which has waited for the leases of the runs that it does not know.
const calmAfter = 10 * time.Second

// applyEvent carries out an event.
func (st *scenario) applyEvent(e scriptEvent) {
	if epochs := st.owners(); st.script.KeepOwners {
		st.mu.Lock()
		if st.epochs == nil {
			st.epochs = epochs
		}
		st.mu.Unlock()
	}
	if os.Getenv("YARDBRIDGE_TEST_LOG") != "" {
		fmt.Fprintf(os.Stderr, "{\"event\":\"HAPPENS\",\"what\":\"%+v\",\"time\":%q}\n", e, time.Now().Format(time.RFC3339))
	}
	if st.script.MoveOnce {
		st.expectOnce(e)
	}
	st.world.Disturb(time.Now().Add(e.For.Std() + calmAfter))
	switch e.Kind {
	case "kill", "stop":
		for _, n := range st.nodesOf(e) {
			go st.restartNode(n, e)
		}
	case "join":
		for _, n := range st.nodesOf(e) {
			st.start(n)
		}
	case "lose":
		for _, n := range st.nodesOf(e) {
			go st.loseNode(n)
		}
	case "cut-together":
		st.cutTogether(e)
	case "store-slow":
		st.slowStore(e)
	case "cut", "store-silent", "store-refuses", "store-lost", "workers-cut", "half-cut":
		for _, n := range st.nodesOf(e) {
			st.countFault(n, e, 1)
			time.AfterFunc(e.For.Std(), func() { st.countFault(n, e, -1) })
		}
	case "suspend":
		for _, n := range st.nodesOf(e) {
			st.suspend(n, e)
		}
	case "parts-refuse":
		st.partitionsAway(e, world.Refusing)
	case "parts-silent":
		st.partitionsAway(e, world.Unresponsive)
	case "orders-lost":
		st.world.LoseOrderResponses(e.Share)
		time.AfterFunc(e.For.Std(), func() { st.world.LoseOrderResponses(0) })
	case "relist":
		st.world.RelistEnded()
	case "wave":
		st.wave(e)
	case "evacuate":
		dataCenter := world.DataCenter(fmt.Sprintf("r-%d", e.Worker))
		st.world.Evacuate(dataCenter)
		time.AfterFunc(e.For.Std(), func() { st.world.EndEvacuation(dataCenter) })
	case "cold":
		st.world.TurnCold(world.DataCenter(fmt.Sprintf("r-%d", e.Worker)), e.For.Std())
	case "limits":
		st.configure(e.Share)
	case "move":
		st.moveQueue(e.Pool, e.To)
	case "drop":
		st.moveQueue(e.Pool, "")
		time.AfterFunc(e.For.Std(), func() { st.moveQueue(e.Pool, cmp.Or(e.To, e.Pool)) })
	case "retire":
		st.retirePool(e)
	case "history":
		st.world.CompactLog()
	case "silence":
		st.world.BlackholeConnections()
	case "cancel":
		st.mu.Lock()
		ids := maps.Clone(st.jobOwners[e.Pool])
		st.mu.Unlock()
		for id, customer := range ids {
			st.jobs.Go(func() { st.cancelJob(e.Pool, id, customer) })
		}
	default:
		st.faultWorker(e)
	}
}

// nodesOf returns the nodes that an event is for.
func (st *scenario) nodesOf(e scriptEvent) []*scenarioNode {
	var list []*scenarioNode
	for _, n := range st.nodes {
		if slices.Contains(e.Nodes, n.number) || len(e.Nodes) == 0 && (e.Node == 0 || e.Node == n.number) {
			list = append(list, n)
		}
	}
	return list
}

// cutTogether cuts the nodes of an event off together for a while.
func (st *scenario) cutTogether(e scriptEvent) {
	var names []string
	for _, n := range st.nodesOf(e) {
		names = append(names, n.name)
	}
	time.AfterFunc(e.For.Std(), st.world.CutTogether(names...))
}

// slowAppendFactor is how many times as long as other calls an append to a slow store takes.
const slowAppendFactor = 3

// slowStore makes the store slow for all nodes for a while.
func (st *scenario) slowStore(e scriptEvent) {
	slow := func(d time.Duration) {
		for _, n := range st.nodes {
			st.world.SetFaults(n.name, func(f *world.Faults) { f.StoreLatency = d })
		}
	}
	slow(e.Within.Std())
	st.world.SetAppendTime((slowAppendFactor - 1) * e.Within.Std())
	time.AfterFunc(e.For.Std(), func() {
		slow(0)
		st.world.SetAppendTime(st.script.AppendTime.Std())
	})
}

// partitionsAway makes partitions unavailable for a while.
func (st *scenario) partitionsAway(e scriptEvent, a world.Outage) {
	var at Node
	at.Setting.Platform.Partitions = storeParts
	var parts []port.Partition
	if e.Pool != "" {
		n := st.readyNode()
		if n == nil {
			return // nothing tells the slot of the pool
		}
		v, _ := n.Directory.View()
		parts = append(parts, at.partition(v.Pools[e.Pool].Slot))
	} else {
		st.mu.Lock()
		for slot := range len(st.script.Pools) + 1 {
			for _, p := range []port.Partition{at.partition(slot), at.standbyPartition(slot)} {
				if st.random.Float64() < e.Share {
					parts = append(parts, p)
				}
			}
		}
		st.mu.Unlock()
	}
	for _, p := range parts {
		st.world.SetOutage(p, a)
		time.AfterFunc(e.For.Std(), func() { st.world.SetOutage(p, world.Available) })
	}
}

// suspend disconnects a node for a while that its steady clock does not count. The model can't stop
// its process: what it decides meanwhile has no effect. It is connected again just after its clock
// has moved on.
func (st *scenario) suspend(n *scenarioNode, e scriptEvent) {
	n.suspension.begin()
	st.countFault(n, e, 1)
	time.AfterFunc(e.For.Std(), func() {
		n.suspension.end()
		time.Sleep(time.Microsecond)
		st.countFault(n, e, -1)
	})
}

// expectOnce compares the owners of the pools before and after an event: the pools of its node must
// have changed their owner once, and the others not at all.
func (st *scenario) expectOnce(e scriptEvent) {
	n := st.readyNode()
	if n == nil {
		st.fail("no node is ready before the event")
		return
	}
	before, _ := n.Directory.View()
	time.AfterFunc(e.For.Std(), func() {
		after := st.owners()
		for pool, o := range before.Pools {
			moves, want := after[pool]-o.Epoch, uint64(0)
			if o.Node == st.nodes[e.Node-1].name {
				want = 1
			}
			if moves != want {
				st.fail("pool %s of node %s changed its owner %d times, want %d", pool, o.Node, moves, want)
			}
		}
	})
}

// faultName returns the name under which an event's fault is counted at a node.
func (e scriptEvent) faultName() string {
	if e.Kind == "half-cut" {
		return fmt.Sprint(e.Kind, e.Half)
	}
	return e.Kind
}

// countFault adds a fault to those in force at a node, or removes it, and applies what is in force:
// a fault that ends does not end another one.
func (st *scenario) countFault(n *scenarioNode, e scriptEvent, by int) {
	st.world.SetFaults(n.name, func(f *world.Faults) {
		if n.faults == nil {
			n.faults = make(map[string]int)
		}
		n.faults[e.faultName()] += by
		suspended := n.faults["suspend"] > 0
		f.PeersCut = suspended || n.faults["cut"] > 0
		f.WorkersCut = suspended || n.faults["workers-cut"] > 0
		for half := range f.HalvesCut {
			f.HalvesCut[half] = n.faults[scriptEvent{Kind: "half-cut", Half: half}.faultName()] > 0
		}
		f.StoreUnresponsive = suspended || n.faults["store-silent"] > 0
		f.StoreUnavailable = n.faults["store-refuses"] > 0
		if e.Kind == "store-lost" {
			f.StoreLostResponses = e.Share
		}
		if n.faults["store-lost"] == 0 {
			f.StoreLostResponses = 0
		}
	})
}

// restartNode ends a node, after a hand-over if it is stopped, and starts it again after a while.
func (st *scenario) restartNode(n *scenarioNode, e scriptEvent) {
	n.mu.Lock()
	node := n.node
	busy := n.busy
	n.busy = true
	n.mu.Unlock()
	if node == nil || busy {
		return
	}
	if e.Kind == "stop" {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		node.HandOver(ctx)
		cancel()
	}
	n.stop()
	time.Sleep(e.For.Std())
	st.start(n)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// loseNode ends a node for good.
func (st *scenario) loseNode(n *scenarioNode) {
	n.mu.Lock()
	running := n.node != nil && !n.busy
	n.busy = true
	n.mu.Unlock()
	if running {
		n.stop()
	}
}

// wave requests the maintenance of a share of all instances.
func (st *scenario) wave(e scriptEvent) {
	list, _ := st.world.Instances().List(context.Background())
	v := wave.Wave{Number: 1, TimeLimit: e.Within.Std(), MaxConcurrent: e.AtOnce}
	for i, o := range list {
		if float64(i) < e.Share*float64(len(list)) {
			v.Instances = append(v.Instances, o.Name)
		}
	}
	st.world.RequestWave(v)
}

func (st *scenario) cancelJob(pool string, id job.ID, customer string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*callLimit)
	defer cancel()
	st.mu.Lock()
	accepted := st.accepted[id]
	st.mu.Unlock()
	if st.retry(ctx, func(ctx context.Context, n *Node) bool {
		q := n.Gateway.Config().Queue("h/" + pool + "/")
		if q == nil {
			return false // the queue is dropped
		}
		err := n.Gateway.Cancel(ctx, q, id, customer)
		if accepted && errkind.Is(err, errkind.Gone) {
			st.fail("LOST: job %s of queue %s can't be cancelled: %v", id, pool, err)
		}
		return err == nil
	}) {
		st.world.RecordCancel(id)
	}
}

// moveQueue writes a version of the configuration in which a queue uses another pool, or that lacks it if
// none is named.
func (st *scenario) moveQueue(name, pool string) {
	st.mu.Lock()
	if pool != "" && !slices.ContainsFunc(st.pools, func(p config.Pool) bool { return p.Name == pool }) {
		pool = st.pools[len(st.pools)-1].Name // it is not configured now
	}
	i := slices.IndexFunc(st.queues, func(q config.Queue) bool { return q.Name == name })
	st.queues = slices.Clone(st.queues)
	st.queues[i].Pool = pool
	st.mu.Unlock()
	st.configure(1)
}

// faultWorker applies an event to a worker.
func (st *scenario) faultWorker(e scriptEvent) {
	list, _ := st.world.Instances().List(context.Background())
	var ids []worker.ID
	racks := make(map[string][]worker.ID)
	for _, i := range list {
		if i.Pool == e.Pool && i.Worker != "" {
			ids = append(ids, i.Worker)
			rack := i.Labels[len(i.Labels)-1]
			racks[rack] = append(racks[rack], i.Worker)
		}
	}
	if e.Kind == "crash-rack" {
		for _, id := range racks[fmt.Sprintf("r-%d", e.Worker)] {
			st.world.Crash(id, e.For.Std())
		}
		return
	}
	for i := e.Worker; i < min(e.Worker+max(e.Count, 1), len(ids)); i++ {
		if after := e.Apart.Std() * time.Duration(i-e.Worker); after > 0 {
			time.AfterFunc(after, func() { st.faultOneWorker(e, ids[i]) })
		} else {
			st.faultOneWorker(e, ids[i])
		}
	}
}

// faultOneWorker applies an event to the worker with the given id.
func (st *scenario) faultOneWorker(e scriptEvent, id worker.ID) {
	set := func(on bool) func(o *world.Worker) {
		return func(o *world.Worker) {
			switch e.Kind {
			case "silent":
				o.Unresponsive = on
			case "hangs":
				o.Stalled = on
			case "fails":
				o.FailsRuns = on
			case "late":
				o.OrderDelay = 0
				if on {
					o.OrderDelay = 2 * time.Second
				}
			}
		}
	}
	switch e.Kind {
	case "crash":
		st.world.Crash(id, e.For.Std())
	case "crash-dark":
		st.world.CrashDark(id, e.For.Std())
	case "drain":
		st.world.Drain(id, e.For.Std())
	case "shrink":
		st.world.Resize(id, e.Share)
		time.AfterFunc(e.For.Std(), func() { st.world.Resize(id, 1) })
	default:
		st.world.ChangeWorker(id, set(true))
		time.AfterFunc(e.For.Std(), func() { st.world.ChangeWorker(id, set(false)) })
	}
}

// retirePool moves the queues of a pool to another one, and removes the pool from the configuration for a while.
func (st *scenario) retirePool(e scriptEvent) {
	st.mu.Lock()
	i := slices.IndexFunc(st.pools, func(p config.Pool) bool { return p.Name == e.Pool })
	if i < 0 || e.To == e.Pool || !slices.ContainsFunc(st.pools, func(p config.Pool) bool { return p.Name == e.To }) {
		st.mu.Unlock()
		return
	}
	pool := st.pools[i]
	st.pools = slices.Delete(slices.Clone(st.pools), i, i+1)
	st.queues = slices.Clone(st.queues)
	for q := range st.queues {
		if st.queues[q].Pool == e.Pool {
			st.queues[q].Pool = e.To
		}
	}
	st.mu.Unlock()
	st.configure(1)
	time.AfterFunc(e.For.Std(), func() {
		st.mu.Lock()
		st.pools = append(slices.Clone(st.pools), pool)
		st.mu.Unlock()
		st.configure(1)
	})
}
