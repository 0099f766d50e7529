// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/table"
)

// historyLength is how many previous versions of an object are kept, so that a file written against
// an older base can be distinguished from a conflict.
const historyLength = 16

// Catalog is the accepted configuration.
type Catalog struct {
	Version uint64 // one more than the offset of the last accepted change, 0 for none
	Objects table.Table[Entity]
}

// Entity is a declarative object with its versions.
type Entity struct {
	Object     manifest.Object
	Deployment string
	Version    uint64 // catalog version of its last change
	Deleted    bool   // kept for its versions
	History    []Revision
}

// Revision is a previous version of an object.
type Revision struct {
	Version uint64
	Sum     [sha256.Size]byte // zero for a deleted object
}

// Sum returns the hash of an object's content.
func Sum(o manifest.Object) [sha256.Size]byte {
	data, err := codec.Marshal(o)
	if err != nil {
		panic(err) // objects contain nothing that can't be encoded
	}
	return sha256.Sum256(data)
}

// Get returns the object with the reference, and false if there is none.
func (c Catalog) Get(r manifest.Ref) (manifest.Object, bool) {
	e, ok := c.Objects.Get(r.String())
	if !ok || e.Deleted {
		return manifest.Object{}, false
	}
	return e.Object, true
}

// Pool returns the declared pool, nil for none.
func (c Catalog) Pool(name string) *manifest.Pool {
	o, _ := c.Get(manifest.Ref{Kind: manifest.KindPool, Name: name})
	return o.Pool
}

// Service returns the declared service, nil for none.
func (c Catalog) Service(name string) *manifest.Service {
	o, _ := c.Get(manifest.Ref{Kind: manifest.KindService, Name: name})
	return o.Service
}

// Team returns the declared team, nil for none.
func (c Catalog) Team(name string) *manifest.Team {
	o, _ := c.Get(manifest.Ref{Kind: manifest.KindTeam, Name: name})
	return o.Team
}

// Customer returns the declared customer, nil for none.
func (c Catalog) Customer(name string) *manifest.Customer {
	o, _ := c.Get(manifest.Ref{Kind: manifest.KindCustomer, Name: name})
	return o.Customer
}

// Active returns every object in force, in order.
func (c Catalog) Active() []manifest.Object {
	var objects []manifest.Object
	for _, e := range c.Objects.All() {
		if !e.Deleted {
			objects = append(objects, e.Object)
		}
	}
	return objects
}

// Maintenance returns the declared maintenance with the shortest period, nil for none.
func (c Catalog) Maintenance() *manifest.Maintenance {
	var shortest *manifest.Maintenance
	for _, o := range c.Active() {
		if m := o.Maintenance; m != nil && (shortest == nil || m.Period < shortest.Period) {
			shortest = m
		}
	}
	return shortest
}

// Pools returns the declared pools by name.
func (c Catalog) Pools() []*manifest.Pool {
	var pools []*manifest.Pool
	for _, o := range c.Active() {
		if o.Pool != nil {
			pools = append(pools, o.Pool)
		}
	}
	return pools
}

// sumAt returns the hash that an object had at a version, and false if the history does not reach
// back that far.
func (e Entity) sumAt(version uint64) (sum [sha256.Size]byte, known bool) {
	for _, r := range slices.Backward(e.History) {
		if r.Version <= version {
			return r.Sum, true
		}
	}
	return sum, len(e.History) < historyLength
}

// Change is the difference between a complete file and a base version.
type Change struct {
	Put    []manifest.Object
	Delete []manifest.Ref
}

// Empty reports whether nothing changes.
func (c Change) Empty() bool { return len(c.Put) == 0 && len(c.Delete) == 0 }

// Diff returns what a deployment's file changes against the catalog at the base version; objects
// that the file left unchanged are not part of it, even if others have changed them since.
func (c Catalog) Diff(deployment string, objects []manifest.Object, base uint64) (Change, error) {
	var change Change
	if base > c.Version {
		return change, errkind.New(errkind.Conflict, "base version %d is newer than the current version %d", base, c.Version)
	}
	named := make(map[manifest.Ref]bool)
	for _, o := range objects {
		r := o.Ref()
		named[r] = true
		e, ok := c.Objects.Get(r.String())
		if ok && !e.Deleted && e.Deployment != deployment {
			return change, errkind.New(errkind.Conflict, "%s belongs to deployment %q", r, e.Deployment)
		}
		before, known := e.sumAt(base)
		if !known {
			return change, tooOld(base, r)
		}
		if before != Sum(o) {
			change.Put = append(change.Put, o)
		}
	}
	for _, e := range c.Objects.All() {
		r := e.Object.Ref()
		if e.Deployment != deployment || named[r] {
			continue
		}
		before, known := e.sumAt(base)
		if !known {
			return change, tooOld(base, r)
		}
		if before != [sha256.Size]byte{} {
			change.Delete = append(change.Delete, r)
		}
	}
	return change, nil
}

func tooOld(base uint64, r manifest.Ref) error {
	return errkind.New(errkind.Conflict, "base version %d is too old for %s; read the current version first", base, r)
}

// With returns the catalog with a change applied completely at a version, or a Conflict error that
// names every object that changed after the base.
func (c Catalog) With(deployment string, change Change, base, version uint64) (Catalog, error) {
	if err := c.checkConflicts(change, base); err != nil {
		return c, err
	}
	next := Catalog{Version: version, Objects: c.Objects}
	for _, o := range change.Put {
		next.Objects = next.Objects.With(o.Ref().String(), next.revised(deployment, o, version, Sum(o)))
	}
	for _, r := range change.Delete {
		e, ok := next.Objects.Get(r.String())
		if !ok {
			continue
		}
		gone := next.revised(deployment, e.Object, version, [sha256.Size]byte{})
		gone.Deleted = true
		next.Objects = next.Objects.With(r.String(), gone)
	}
	if err := next.Check(); err != nil {
		return c, err
	}
	return next, nil
}

func (c Catalog) revised(deployment string, o manifest.Object, version uint64, sum [sha256.Size]byte) Entity {
	old, _ := c.Objects.Get(o.Ref().String())
	history := append(slices.Clone(old.History), Revision{Version: version, Sum: sum})
	if len(history) > historyLength {
		history = history[len(history)-historyLength:]
	}
	return Entity{Object: o, Deployment: deployment, Version: version, History: history}
}

func (c Catalog) checkConflicts(change Change, base uint64) error {
	refs := slices.Clone(change.Delete)
	for _, o := range change.Put {
		refs = append(refs, o.Ref())
	}
	var clashes []string
	for _, r := range refs {
		e, ok := c.Objects.Get(r.String())
		if ok && e.Version > base {
			clashes = append(clashes, fmt.Sprintf("%s changed in version %d", r, e.Version))
		}
	}
	if len(clashes) == 0 {
		return nil
	}
	slices.Sort(clashes)
	return errkind.New(errkind.Conflict, "written against version %d, but %s", base, strings.Join(clashes, ", "))
}

// Check returns a BadRequest error if objects refer to others that do not exist.
func (c Catalog) Check() error {
	names := make(map[manifest.Ref]bool)
	objects := c.Active()
	for _, o := range objects {
		names[o.Ref()] = true
	}
	missing := make(map[string]bool)
	need := func(from manifest.Ref, to manifest.Ref) {
		if !names[to] {
			missing[fmt.Sprintf("%s needs %s, which is not declared", from, to)] = true
		}
	}
	for _, o := range objects {
		if owner := o.Owner(); owner != "" {
			need(o.Ref(), manifest.Ref{Kind: manifest.KindTeam, Name: owner})
		}
		if o.Service != nil {
			need(o.Ref(), manifest.Ref{Kind: manifest.KindPool, Name: o.Service.Pool})
		}
		if o.Job != nil {
			need(o.Ref(), manifest.Ref{Kind: manifest.KindPool, Name: o.Job.Pool})
			if o.Job.Customer != "" {
				need(o.Ref(), manifest.Ref{Kind: manifest.KindCustomer, Name: o.Job.Customer})
			}
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return errkind.New(errkind.BadRequest, "%s", strings.Join(slices.Sorted(maps.Keys(missing)), ", "))
}
