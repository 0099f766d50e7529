// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260302", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

const (
	testWorkers = 3
	testSlots   = 4
)

// node is one entry in memory.
type node struct {
	name    string
	state   state.State
	lender  *Lender
	holder  *Holder
	links   map[string]*link
	used    []*Slot   // requests in flight
	waiting []*waiter // waiting requests
	dead    bool
	left    bool
}

// network is several entries, a log, and the messages in transit between them.
type network struct {
	clock      *clock.Fake
	nodes      map[string]*node
	names      []string
	log        []record.Stored
	newest     state.State
	seq        map[string]uint64
	delayed    []delayedExchange
	fault      string                 // fault of the next exchange
	unfinished map[string][]time.Time // end times of the work that targets still do for lost entries, by worker
}

// delayedExchange is a message that was delayed in transit.
type delayedExchange struct {
	to string
	x  Exchange
}

func newNetwork(entries int) *network {
	n := &network{
		clock: clock.NewFake(time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)),
		nodes: make(map[string]*node), seq: make(map[string]uint64), unfinished: make(map[string][]time.Time),
	}
	for i := range entries {
		n.add(fmt.Sprintf("e%d", i))
	}
	var workers []fleet.Worker
	for i := range testWorkers {
		workers = append(workers, fleet.Worker{ID: fmt.Sprintf("w%d", i), Slots: testSlots, Condition: fleet.Live, Rack: fmt.Sprint(i)})
	}
	n.put("e0", record.Record{ListUpdate: &record.ListUpdate{Revision: n.newest.ListRevision + 1, Workers: workers}})
	n.put("e0", record.Record{Apply: &record.Apply{Deployment: "d", Put: []manifest.Object{
		{Team: &manifest.Team{Name: "t"}},
		{Pool: &manifest.Pool{Name: "p", Team: "t", Size: testWorkers, FailureDomain: manifest.DomainWorker}},
	}}})
	for _, w := range workers {
		i, _ := n.newest.Instances.Get(w.ID)
		n.put("e0", record.Record{Move: &record.Move{Worker: w.ID, Version: i.Version, To: "p"}})
	}
	return n
}

func (n *network) add(name string) {
	c := clock.Clock{NowFunc: n.clock.Now, AfterFunc: func(time.Duration) <-chan time.Time {
		now := make(chan time.Time, 1)
		now <- n.clock.Now()
		return now
	}}
	d := &node{name: name, links: make(map[string]*link)}
	d.lender = &Lender{Clock: c, Name: name, Notify: func(string, Notification) {}}
	d.holder = &Holder{Clock: c, Name: name, RequestExchange: func(string) {}}
	n.nodes[name] = d
	n.names = append(n.names, name)
	n.put(name, record.Record{Join: &record.Join{Address: name}})
	n.put(name, record.Record{ListUpdate: &record.ListUpdate{Revision: n.newest.ListRevision + 1, Entries: []string{name}}})
}

func (n *network) put(writer string, r record.Record) {
	n.seq[writer]++
	data, err := record.Batch{Writer: writer, Incarnation: 1, Sequence: n.seq[writer], Records: []record.Record{r}}.Encode()
	if err != nil {
		panic(err)
	}
	stored := record.Stored{Offset: uint64(len(n.log)), At: n.clock.Now(), Data: data}
	n.log = append(n.log, stored)
	n.newest = n.newest.Fold(stored).State
}

// catchUp lets a node fold some of the records that it has not seen.
func (n *network) catchUp(d *node, records int) {
	for range records {
		if int(d.state.Offset) >= len(n.log) {
			break
		}
		d.state = d.state.Fold(n.log[d.state.Offset]).State
	}
	d.lender.Update(d.state)
	d.holder.Update(d.state)
}

var errLost = errors.New("lost")

// call delivers an exchange with the fault that was drawn for it.
func (n *network) call(_ context.Context, owner string, x Exchange) (ExchangeResponse, error) {
	o := n.nodes[owner]
	switch {
	case o == nil || o.dead || o.left || n.fault == "request lost":
		return ExchangeResponse{}, errLost
	case n.fault == "delayed":
		n.delayed = append(n.delayed, delayedExchange{owner, x})
		return ExchangeResponse{}, errLost
	}
	g := o.lender.Exchange(x)
	switch n.fault {
	case "response lost":
		return ExchangeResponse{}, errLost
	case "overtaken":
		n.handOffDuringExchange(n.nodes[x.Entry], o)
	}
	return g, nil
}

// handOffDuringExchange hands the slots to a new owner, and has the caller report to it what it
// holds, while a response of the old owner to the caller is in transit.
func (n *network) handOffDuringExchange(caller, old *node) {
	for id, i := range n.newest.Instances.All() {
		if i.Owner != old.name {
			continue
		}
		for _, name := range n.names {
			to := n.nodes[name]
			if to == old || to == caller || to.dead || to.left {
				continue
			}
			n.put(old.name, record.Record{Handoff: &record.Handoff{Worker: id, Epoch: i.Epoch, To: name}})
			n.fault = ""
			n.catchUp(caller, len(n.log))
			n.catchUp(to, len(n.log))
			n.exchange(caller, name)
			return
		}
	}
}

func (n *network) exchange(d *node, owner string) {
	k, ok := d.links[owner]
	if !ok {
		links := &Exchanger{Holder: d.holder, Incarnation: 1, Call: n.call, Logger: log.Nop()}
		k = &link{exchanger: links, owner: owner, session: 1, needsFull: true}
		d.links[owner] = k
	}
	k.exchange(context.Background())
}

// requestSlot takes a slot for a request or enqueues it.
func (d *node) requestSlot() {
	d.holder.mu.Lock()
	defer d.holder.mu.Unlock()
	d.holder.init()
	p := d.holder.pool("p")
	if t := d.holder.pick(p, ""); t != nil {
		d.used = append(d.used, d.holder.slotOn(t))
		return
	}
	w := &waiter{class: manifest.Interactive, deadline: d.holder.Clock.Now().Add(time.Hour), grant: make(chan *Slot, 1), shed: make(chan struct{})}
	p.queue.add(w)
	d.waiting = append(d.waiting, w)
}

// collect takes the slots that were granted to waiting requests.
func (d *node) collect() {
	var still []*waiter
	for _, w := range d.waiting {
		select {
		case s := <-w.grant:
			d.used = append(d.used, s)
		default:
			still = append(still, w)
		}
	}
	d.waiting = still
}

// inFlight counts the requests that a target really works on.
func (n *network) inFlight(worker string) int {
	count := 0
	for _, d := range n.nodes {
		for _, s := range d.used {
			if s.worker == worker {
				count++
			}
		}
	}
	for _, end := range n.unfinished[worker] {
		if n.clock.Now().Before(end) {
			count++
		}
	}
	return count
}

// kill ends a node's process; the targets continue their work for almost the quarantine.
func (n *network) kill(d *node) {
	d.dead = true
	for _, s := range d.used {
		n.unfinished[s.worker] = append(n.unfinished[s.worker], n.clock.Now().Add(DefaultQuarantine-time.Millisecond))
	}
	d.used = nil
	d.waiting = nil
	// The platform notices, and another entry records it on the log.
	for _, o := range n.nodes {
		if !o.dead && !o.left {
			n.put(o.name, record.Record{Gone: &record.Gone{Entry: d.name, Incarnation: 1}})
			return
		}
	}
}

func (n *network) check(t *rapid.T) {
	for i := range testWorkers {
		worker := fmt.Sprintf("w%d", i)
		if count := n.inFlight(worker); count > testSlots {
			t.Fatalf("%s works on %d requests at once, but has %d slots", worker, count, testSlots)
		}
	}
	for _, d := range n.nodes {
		if d.dead || d.left {
			continue
		}
		for _, idle := range d.lender.Idle() {
			i, _ := n.newest.Instances.Get(idle.Worker)
			if i.Owner == d.name && i.Epoch == idle.Epoch && n.inFlight(idle.Worker) > 0 {
				t.Fatalf("%s reports %s as idle while it works on %d requests", d.name, idle.Worker, n.inFlight(idle.Worker))
			}
		}
	}
}

// step performs one random event. A node for which no event is drawn behaves like a suspended one.
func (n *network) step(t *rapid.T) {
	d := n.nodes[rapid.SampledFrom(n.names).Draw(t, "node")]
	if d.dead || d.left {
		return
	}
	worker := fmt.Sprintf("w%d", rapid.IntRange(0, testWorkers-1).Draw(t, "worker"))
	i, _ := n.newest.Instances.Get(worker)
	switch event := rapid.IntRange(0, 22).Draw(t, "event"); {
	case event > 19: // a handoff that a node learns at once or late
		n.put(i.Owner, record.Record{Handoff: &record.Handoff{Worker: worker, Epoch: i.Epoch, To: d.name}})
		to := n.nodes[rapid.SampledFrom(n.names).Draw(t, "first to learn")]
		if !to.dead && !to.left {
			n.catchUp(to, len(n.log))
			n.fault = ""
			n.exchange(to, d.name)
		}
	case event < 4:
		d.requestSlot()
	case event < 8:
		owner := rapid.SampledFrom(n.names).Draw(t, "owner")
		n.fault = rapid.SampledFrom([]string{"", "", "", "", "response lost", "request lost", "delayed", "overtaken"}).Draw(t, "fault")
		n.exchange(d, owner)
	case event < 11:
		if len(d.used) > 0 {
			k := rapid.IntRange(0, len(d.used)-1).Draw(t, "slot")
			s := d.used[k]
			d.used = append(d.used[:k], d.used[k+1:]...)
			s.Release()
		}
	case event < 15:
		n.catchUp(d, rapid.IntRange(1, 8).Draw(t, "records"))
	case event == 15:
		n.put(i.Owner, record.Record{Handoff: &record.Handoff{Worker: worker, Epoch: i.Epoch, To: d.name}})
	case event == 16:
		if len(n.delayed) > 0 {
			l := n.delayed[0]
			n.delayed = n.delayed[1:]
			if to := n.nodes[l.to]; !to.dead && !to.left {
				to.lender.Exchange(l.x)
			}
		}
	case event == 17:
		n.clock.Advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
	case event == 18:
		n.put(d.name, record.Record{Drain: &record.Drain{Worker: worker, Version: i.Version, Purpose: record.ForMaintenance}})
	default:
		n.endEntry(t, d)
	}
	for _, o := range n.nodes {
		o.collect()
	}
}

// endEntry kills an entry, or stops it if it has no requests in flight; with fewer than three alive
// it adds one instead.
func (n *network) endEntry(t *rapid.T, d *node) {
	if len(n.names) > 6 {
		return
	}
	alive := 0
	for _, o := range n.nodes {
		if !o.dead && !o.left {
			alive++
		}
	}
	if alive < 3 {
		n.add(fmt.Sprintf("e%d", len(n.names)))
		return
	}
	if rapid.Bool().Draw(t, "killed") {
		n.kill(d)
		return
	}
	if len(d.used) == 0 {
		d.left = true
		n.put(d.name, record.Record{Leave: &record.Leave{}})
	}
}

// TestSlotLimitAndIdleTargets checks that no target works on more requests than it has slots, and
// that none is reported as idle while it works on one, whichever messages are lost, delayed or
// overtaken by a handoff, and whichever entries are suspended, killed or stopped.
func TestSlotLimitAndIdleTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(3)
		for _, d := range n.nodes {
			n.catchUp(d, len(n.log))
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			n.step(t)
			n.check(t)
		}
	})
}

// TestAllSlotsAreReturned lets a network that had every fault settle, and checks that all slots can
// be used again.
func TestAllSlotsAreReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(3)
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			n.step(t)
		}
		n.fault = ""
		n.delayed = nil
		for _, d := range n.nodes {
			for _, s := range d.used {
				s.Release()
			}
			d.used = nil
			for _, w := range d.waiting {
				d.holder.mu.Lock()
				d.holder.pool("p").queue.remove(w)
				d.holder.mu.Unlock()
			}
			d.waiting = nil
		}
		n.settle()
		free := 0
		serving := 0
		for _, d := range n.nodes {
			if d.dead || d.left {
				continue
			}
			for _, a := range d.lender.Dump() {
				free += a.Free
			}
			held, _ := d.holder.Dump()
			for _, h := range held {
				if h.Serving {
					free += h.Held
				}
			}
		}
		for _, i := range n.newest.Instances.All() {
			if i.Serving() {
				serving++
			}
		}
		if free < serving*testSlots {
			t.Fatalf("%d slots can be used, %d targets serve with %d each", free, serving, testSlots)
		}
	})
}

// settle lets every node fold the complete log and exchange with every other node.
func (n *network) settle() {
	for range 4 {
		n.clock.Advance(DefaultQuarantine)
		for _, d := range n.nodes {
			if d.dead || d.left {
				continue
			}
			n.catchUp(d, len(n.log))
			for _, owner := range n.names {
				n.exchange(d, owner)
				n.exchange(d, owner)
			}
		}
	}
}

// TestGrantWithLostResponseIsReturned checks that a grant whose response was lost is returned even
// if no request waits and no slot is held, so that only the lost response can cause the next
// exchange.
func TestGrantWithLostResponseIsReturned(t *testing.T) {
	n := newNetwork(2)
	for _, d := range n.nodes {
		n.catchUp(d, len(n.log))
	}
	borrower := n.nodes["e1"]
	borrower.requestSlot()
	n.fault = "response lost"
	n.exchange(borrower, "e0")
	n.fault = ""
	borrower.holder.pool("p").queue.remove(borrower.waiting[0])
	n.exchange(borrower, "e0")
	for _, a := range n.nodes["e0"].lender.Dump() {
		if a.Lent["e1"] != 0 {
			t.Fatalf("%d slots of %s stay lent to an entry that never received them", a.Lent["e1"], a.Worker)
		}
	}
}
