// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// instance is one instance in the model.
type instance struct {
	name      string
	pool      string
	condition port.Condition
	labels    []string
	center    string // its data centre
	capacity  job.Size
	workerID  worker.ID // "" while it is off or down
	wave      int       // the wave for which it is down
	token     uint64    // highest token seen
	holder    string
	ordered   time.Time
}

// waveState is a wave and the progress of its maintenance.
type waveState struct {
	maxConcurrent int
	instances     []string
	started       map[string]bool
}

// Durations of orders to instances.
const (
	instanceTime = 5 * time.Millisecond
	moveTime     = 1500 * time.Millisecond
	repairTime   = 2 * time.Second
	holderLease  = 3 * time.Second
)

// DataCenter returns the data centre of a rack: each rack is in one of its own.
func DataCenter(rack string) string { return "dc-" + rack }

func newInstance(name, rack string, capacity job.Size) *instance {
	return &instance{name: name, labels: []string{"a", rack}, center: DataCenter(rack), capacity: capacity}
}

// AddInstance adds an instance that is off, in the pool of such instances.
func (w *World) AddInstance(name, pool, rack string, capacity job.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := newInstance(name, rack, capacity)
	i.pool, i.condition = pool, port.Up
	w.instances[name] = i
}

// MaintenanceStarted returns the instances whose maintenance for a wave has started.
func (w *World) MaintenanceStarted(number int) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.waves[number].started))
}

// Instances returns the instance API.
func (w *World) Instances() port.Instances {
	return port.Instances{
		List: func(context.Context) ([]port.Instance, error) {
			time.Sleep(instanceTime)
			return w.listInstances(), nil
		},
		Move: func(ctx context.Context, p port.Issuer, name, pool string) error {
			time.Sleep(instanceTime)
			return w.orderResult(ctx, w.moveInstance(p, name, pool))
		},
		Maintain: func(ctx context.Context, p port.Issuer, name string, wave int) error {
			time.Sleep(instanceTime)
			return w.orderResult(ctx, w.maintainInstance(p, name, wave))
		},
	}
}

// LoseOrderResponses makes the responses to a share of the orders to instances get lost;
// the orders are applied.
func (w *World) LoseOrderResponses(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lostOrderShare = share
}

// orderResult returns the result of an order to an instance unless its response is lost.
func (w *World) orderResult(ctx context.Context, err error) error {
	w.mu.Lock()
	lost := w.random.Float64() < w.lostOrderShare
	w.mu.Unlock()
	if lost {
		return noResponse(ctx, instanceOrderTimeout)
	}
	return err
}

// instanceOrderTimeout is how long a role holder waits for the response to an order to an
// instance.
const instanceOrderTimeout = 2 * time.Second

func (w *World) listInstances() []port.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []port.Instance
	for _, n := range slices.Sorted(maps.Keys(w.instances)) {
		i := w.instances[n]
		list = append(list, port.Instance{
			Name: i.name, Pool: i.pool, Condition: i.condition, DataCenter: i.center, Labels: i.labels, Capacity: i.capacity, Worker: i.workerID,
		})
	}
	return list
}

// checkIssuer checks who issues an order to an instance. The caller holds w.mu.
func (w *World) checkIssuer(i *instance, p port.Issuer) {
	if p.Token < i.token {
		w.violation("ONE: token %d after %d for %s", p.Token, i.token, i.name)
	}
	if i.holder != "" && i.holder != p.Holder && time.Since(i.ordered) < holderLease {
		w.violation("ONE: %s orders %s %s after %s", p.Holder, i.name, time.Since(i.ordered), i.holder)
	}
	i.token, i.holder, i.ordered = max(i.token, p.Token), p.Holder, time.Now()
}

func (w *World) moveInstance(p port.Issuer, name, pool string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.instances[name]
	if i == nil {
		return errkind.New(errkind.NotFound, "no instance %s", name)
	}
	w.checkIssuer(i, p)
	if i.pool == pool {
		return nil
	}
	if i.condition != port.Up || w.draining(i) {
		return errkind.New(errkind.Conflict, "busy")
	}
	w.takeDown(i, port.Moving)
	i.pool = pool
	time.AfterFunc(moveTime, func() { w.restore(i) })
	return nil
}

func (w *World) maintainInstance(p port.Issuer, name string, number int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	i, work := w.instances[name], w.waves[number]
	if i == nil || work == nil {
		return errkind.New(errkind.NotFound, "no instance %s or wave %d", name, number)
	}
	w.checkIssuer(i, p)
	if work.started[name] {
		return nil
	}
	if i.condition != port.Up || w.draining(i) {
		return errkind.New(errkind.Conflict, "busy")
	}
	down := 0
	for _, o := range w.instances {
		if o.condition == port.Maintenance && o.wave == number {
			down++
		}
	}
	if down >= work.maxConcurrent {
		w.violation("LIMIT: %s is taken down while %d others are down", name, down)
	}
	work.started[name] = true
	i.wave = number
	w.takeDown(i, port.Maintenance)
	time.AfterFunc(repairTime, func() { w.restore(i) })
	return nil
}

// draining reports whether an instance is about to be removed. The caller holds w.mu.
func (w *World) draining(i *instance) bool {
	o := w.workers[i.workerID]
	return o != nil && o.info.Draining
}

// takeDown ends the incarnation of an instance by an order. The caller holds w.mu.
func (w *World) takeDown(i *instance, c port.Condition) {
	if o := w.workers[i.workerID]; o != nil {
		for _, r := range o.runs {
			w.checkStop("", o, r)
			r.stopping = true
		}
		o.end()
		o.breakGangs()
		id := i.workerID
		time.AfterFunc(repairTime, func() { w.removeEntry(id) })
	}
	i.condition, i.workerID = c, ""
}

// Headroom is the name of the pool whose instances are off.
const Headroom = "headroom"

// restore brings an instance up again.
func (w *World) restore(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.pool == Headroom {
		i.condition = port.Up
		return
	}
	w.startWorker(i, i.pool)
}
