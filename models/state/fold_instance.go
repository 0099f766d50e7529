// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// foldInstanceRecord folds the records about instances; known is false for all other records.
func (s State) foldInstanceRecord(from author, r record.Record) (next State, known bool, err error) {
	known = true
	switch {
	case r.ListUpdate != nil:
		next, err = s.foldListUpdate(*r.ListUpdate)
	case r.Move != nil:
		next, err = s.foldMove(*r.Move)
	case r.Drain != nil:
		next, err = s.foldDrain(*r.Drain)
	case r.Drained != nil:
		next, err = s.foldDrained(from, *r.Drained)
	case r.Reboot != nil:
		next, err = s.foldReboot(from, *r.Reboot)
	case r.Return != nil:
		next, err = s.foldReturn(*r.Return)
	case r.Handoff != nil:
		next, err = s.foldHandoff(from, *r.Handoff)
	case r.Eject != nil:
		next, err = s.foldEject(*r.Eject)
	default:
		return s, false, nil
	}
	return next, true, err
}

// foldListUpdate applies changes of the platform's list; a list that is older than a folded one is
// rejected.
func (s State) foldListUpdate(g record.ListUpdate) (State, error) {
	if g.Revision <= s.ListRevision {
		return s, errkind.New(errkind.Conflict, "list revision %d is not newer than %d", g.Revision, s.ListRevision)
	}
	s.ListRevision = g.Revision
	for _, w := range g.Workers {
		s = s.updateWorker(w)
	}
	for _, name := range g.Entries {
		if e, ok := s.Entries.Get(name); ok {
			e.Listed = true
			s.Entries = s.Entries.With(name, e)
		}
	}
	return s.dropGone(), nil
}

func (s State) updateWorker(w fleet.Worker) State {
	i, known := s.Instances.Get(w.ID)
	if !known {
		i = Instance{Pool: manifest.SparePool, Phase: InService, MaintainedAt: s.Now}
	}
	if w.BootCount > i.Worker.BootCount {
		i.MaintainedAt = s.Now
	}
	lost := known && i.Worker.Condition != fleet.Gone && w.Condition == fleet.Gone
	i.Worker = w
	i.Version = s.Offset
	i.GoneAt = time.Time{}
	if w.Condition == fleet.Gone {
		i.GoneAt = s.Now
	}
	s = s.withInstance(i)
	if lost {
		return s.retryRunsOn(w.ID)
	}
	return s
}

// goneRetention is how long a worker that the platform no longer lists stays a member of its pool;
// if it returns within that time no move is needed.
const goneRetention = time.Hour

// dropGone drops the workers that have been gone for longer than the retention.
func (s State) dropGone() State {
	for id := range s.index.gone.All() {
		if i, _ := s.Instances.Get(id); s.Now.Sub(i.GoneAt) > goneRetention {
			s = s.withoutInstance(id)
		}
	}
	return s
}

// instanceAt returns the instance for a proposal that was made on one of its versions.
func (s State) instanceAt(worker string, version uint64) (Instance, error) {
	i, ok := s.Instances.Get(worker)
	if !ok {
		return i, errkind.New(errkind.NotFound, "worker %s is unknown", worker)
	}
	if i.Version != version {
		return i, errkind.New(errkind.Conflict, "worker %s is at version %d, the proposal was made on version %d", worker, i.Version, version)
	}
	return i, nil
}

// updateInstance stores a changed instance under a new version.
func (s State) updateInstance(i Instance) State {
	if before, _ := s.Instances.Get(i.Worker.ID); before.Phase != i.Phase {
		i.PhaseAt = s.Now
	}
	i.Version = s.Offset
	return s.withInstance(i)
}

// foldMove moves an idle worker into a pool immediately.
func (s State) foldMove(m record.Move) (State, error) {
	i, err := s.instanceAt(m.Worker, m.Version)
	if err != nil {
		return s, err
	}
	if err := s.mayJoinPool(i, m.To); err != nil {
		return s, err
	}
	if i.Phase != InService || s.hasTargets(i.Pool) || s.busy(m.Worker) {
		return s, errkind.New(errkind.Conflict, "worker %s is in use and must be drained first", m.Worker)
	}
	return s.enterService(i, m.To), nil
}

// mayJoinPool returns nil if the pool exists and accepts the worker's kind.
func (s State) mayJoinPool(i Instance, pool string) error {
	if pool == manifest.SparePool {
		return nil
	}
	p := s.Catalog.Pool(pool)
	if p == nil {
		return errkind.New(errkind.NotFound, "pool %s is not declared", pool)
	}
	if !p.AcceptsKind(i.Worker.Kind) {
		return errkind.New(errkind.Conflict, "pool %s accepts no workers of kind %q", pool, i.Worker.Kind)
	}
	return nil
}

// enterService puts the instance into service in a pool.
func (s State) enterService(i Instance, pool string) State {
	if i.Pool != pool {
		i.Owner = ""
	}
	i.Pool = pool
	i.Phase = InService
	i.Purpose = ""
	i.MoveTo = ""
	return s.updateInstance(s.withOwner(i))
}

// foldDrain accepts a drain only within the budget of the pool.
func (s State) foldDrain(d record.Drain) (State, error) {
	i, err := s.instanceAt(d.Worker, d.Version)
	if err != nil {
		return s, err
	}
	if i.Phase != InService {
		return s, errkind.New(errkind.Conflict, "worker %s is %s", d.Worker, i.Phase)
	}
	if d.Purpose == record.ForMove {
		if err := s.mayJoinPool(i, d.To); err != nil {
			return s, err
		}
	}
	if err := s.CheckDrain(i); err != nil {
		return s, err
	}
	i.Phase = Draining
	i.Purpose = d.Purpose
	i.MoveTo = d.To
	if i.Owner == "" {
		i.Phase = Drained // no entry could have sent it a request
	}
	return s.updateInstance(i).completeMove(d.Worker), nil
}

// foldDrained accepts the report of the slots' owner that all of them have been returned.
func (s State) foldDrained(from author, d record.Drained) (State, error) {
	i, ok := s.Instances.Get(d.Worker)
	if !ok || i.Phase != Draining || i.Owner != from.name || i.Epoch != d.Epoch {
		return s, errkind.New(errkind.Conflict, "worker %s is not drained under %s at epoch %d", d.Worker, from.name, d.Epoch)
	}
	i.Phase = Drained
	return s.updateInstance(i).completeMove(d.Worker), nil
}

// completeMove completes a move once its worker is idle.
func (s State) completeMove(worker string) State {
	i, _ := s.Instances.Get(worker)
	if i.Phase != Drained || i.Purpose != record.ForMove || s.busy(worker) {
		return s
	}
	return s.enterService(i, i.MoveTo)
}

// foldReboot accepts the intent to reboot an idle worker. Only its writer may call the platform;
// otherwise a suspended process could reboot the worker after its return to service. Another
// process takes over once the writer is gone.
func (s State) foldReboot(from author, r record.Reboot) (State, error) {
	i, err := s.instanceAt(r.Worker, r.Version)
	if err != nil {
		return s, err
	}
	orphaned := i.Phase == Rebooting && i.Worker.BootCount == i.BootCountAtReboot && !s.present(i.Rebooter, i.RebooterIncarnation)
	if !orphaned && (i.Phase != Drained || i.Purpose != record.ForMaintenance || s.busy(r.Worker)) {
		return s, errkind.New(errkind.Conflict, "worker %s is not idle and drained for maintenance", r.Worker)
	}
	i.Phase = Rebooting
	i.BootCountAtReboot = i.Worker.BootCount
	i.Rebooter = from.name
	i.RebooterIncarnation = from.incarnation
	return s.updateInstance(i), nil
}

// foldReturn puts a rebooted worker back into service in its pool.
func (s State) foldReturn(r record.Return) (State, error) {
	i, err := s.instanceAt(r.Worker, r.Version)
	if err != nil {
		return s, err
	}
	if i.Phase != Rebooting || i.Worker.BootCount <= i.BootCountAtReboot || i.Worker.Condition != fleet.Live {
		return s, errkind.New(errkind.Conflict, "worker %s has not returned from its reboot", r.Worker)
	}
	return s.enterService(i, i.Pool), nil
}

// foldHandoff passes on the slots of an instance; only their owner may do so.
func (s State) foldHandoff(from author, h record.Handoff) (State, error) {
	i, ok := s.Instances.Get(h.Worker)
	if !ok || i.Owner != from.name || i.Epoch != h.Epoch {
		return s, errkind.New(errkind.Conflict, "the slots of %s are not owned by %s at epoch %d", h.Worker, from.name, h.Epoch)
	}
	if e, ok := s.Entries.Get(h.To); !ok || !e.Present {
		return s, errkind.New(errkind.NotFound, "entry %s is not a member", h.To)
	}
	i.Owner = h.To
	i.Epoch = s.Offset
	i.FirstOwner = false
	return s.withInstance(i), nil
}

// MaxEjection bounds how long one record may keep new jobs away from a worker.
const MaxEjection = time.Hour

func (s State) foldEject(a record.Eject) (State, error) {
	i, ok := s.Instances.Get(a.Worker)
	if !ok {
		return s, errkind.New(errkind.NotFound, "worker %s is unknown", a.Worker)
	}
	if a.Until.After(s.Now.Add(MaxEjection)) {
		return s, errkind.New(errkind.BadRequest, "a worker may be ejected for at most %s", MaxEjection)
	}
	i.EjectedUntil = a.Until
	return s.withInstance(i), nil
}
