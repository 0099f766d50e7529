// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package apiv1

import (
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/pools"
)

// Status is the response of GET /status.
type Status struct {
	Entry     string                  `json:"entry"`
	Ready     string                  `json:"ready"` // "yes", or the reason why not
	Offset    uint64                  `json:"offset"`
	Version   uint64                  `json:"version"`
	Members   []string                `json:"roster"`
	Roles     map[string]string       `json:"roles"` // holder by role
	Pools     []PoolStatus            `json:"pools"`
	Ejected   map[string]time.Time    `json:"targets_aside,omitempty"`
	Shortages []pools.Shortage        `json:"shortages,omitempty"`
	Blocked   []pools.BlockedInstance `json:"maintenance_blocked,omitempty"`
}

// PoolStatus is the status of one pool.
type PoolStatus struct {
	Pool      string `json:"pool"`
	Size      int    `json:"size"`
	Present   int    `json:"present"`
	Serving   int    `json:"serving"`
	Available int    `json:"available"` // instances that must stay available
	Spare     int    `json:"spare"`     // instances that could be lost, negative if the budget does not hold
}

func (t *Router) status(o operator, _ *http.Request) (any, error) {
	e := t.Entry
	s := e.Ledger.State()
	response := Status{
		Entry:   e.Settings.Entry.Name,
		Ready:   "yes",
		Offset:  s.Offset,
		Version: s.Catalog.Version,
		Members: s.MemberNames(),
		Roles:   make(map[string]string),
		Pools:   []PoolStatus{},
		Ejected: e.Outliers.Ejected(),
	}
	if err := e.Ready(); err != nil {
		response.Ready = errkind.Of(err).Message
	}
	for role, l := range s.Leases.All() {
		response.Roles[role] = l.Holder
	}
	for _, p := range s.Catalog.Pools() {
		if !o.maySee(p.Team) {
			continue
		}
		h := s.Headroom(p)
		response.Pools = append(response.Pools, PoolStatus{
			Pool: p.Name, Size: p.Size, Present: len(s.PoolInstances(p.Name)),
			Serving: h.Serving, Available: p.MinAvailable, Spare: h.Spare(),
		})
	}
	plan := pools.MakePlan(s, e.Settings.Entry.Name, e.Ledger.Incarnation, e.Clock.Now())
	response.Shortages, response.Blocked = plan.Shortages, plan.Blocked
	return response, nil
}

// InstanceStatus is one row of GET /instances.
type InstanceStatus struct {
	Worker       string    `json:"worker"`
	Address      string    `json:"address"`
	DataCenter   string    `json:"hall"`
	Rack         string    `json:"rack"`
	Condition    string    `json:"condition"`
	Pool         string    `json:"pool"`
	Phase        string    `json:"phase"`
	To           string    `json:"to,omitempty"`
	Owner        string    `json:"owner,omitempty"`
	MaintainedAt time.Time `json:"maintained_at"`
}

func (t *Router) instances(o operator, _ *http.Request) (any, error) {
	s := t.Entry.Ledger.State()
	rows := []InstanceStatus{}
	for id, i := range s.Instances.All() {
		if p := s.Catalog.Pool(i.Pool); o.team != "" && (p == nil || p.Team != o.team) {
			continue
		}
		rows = append(rows, InstanceStatus{
			Worker: id, Address: i.Worker.Address, DataCenter: i.Worker.DataCenter, Rack: i.Worker.Rack,
			Condition: string(i.Worker.Condition), Pool: i.Pool, Phase: string(i.Phase), To: i.MoveTo,
			Owner: i.Owner, MaintainedAt: i.MaintainedAt,
		})
	}
	return rows, nil
}

func (t *Router) dump(o operator, _ *http.Request) (any, error) {
	if err := o.requireAllTeams(); err != nil {
		return nil, err
	}
	return t.Entry.Dump(), nil
}

func (t *Router) metrics(o operator, _ *http.Request) (any, error) {
	if err := o.requireAllTeams(); err != nil {
		return nil, err
	}
	return gometrics.Registry(t.Entry.Metrics.Registry).GetAll(), nil
}
