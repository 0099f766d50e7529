// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package manifest

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// SparePool is the pool of all workers that no declared pool holds.
const SparePool = "spare"

// Kind names a sort of declarative object.
type Kind string

// The sorts of declarative objects.
const (
	KindTeam        Kind = "team"
	KindCustomer    Kind = "customer"
	KindPool        Kind = "pool"
	KindService     Kind = "service"
	KindJob         Kind = "job"
	KindMaintenance Kind = "maintenance"
)

// Ref names one declarative object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Compare orders references by kind, then by name.
func (r Ref) Compare(o Ref) int {
	if c := compare(r.Kind, o.Kind); c != 0 {
		return c
	}
	return compare(r.Name, o.Name)
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Class is the urgency of requests and jobs.
type Class string

// The classes of requests (interactive, batch) and jobs (batch, service, urgent).
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
	LongRunning Class = "service"
	Urgent      Class = "urgent"
)

// FailureDomain is a failure domain whose loss a pool survives.
type FailureDomain string

// The failure domains, from small to large.
const (
	DomainWorker     FailureDomain = "worker"
	DomainRack       FailureDomain = "rack"
	DomainDataCenter FailureDomain = "hall"
)

// Team owns objects and has a quota for its jobs.
type Team struct {
	Name              string `toml:"name" json:"name"`
	QuotaCores        int    `toml:"quota_cores" json:"quota_cores"`
	QuotaMemoryGB     int    `toml:"quota_memory_gb" json:"quota_memory_gb"`
	QuotaAccelerators int    `toml:"quota_accelerators" json:"quota_accelerators"`
}

// Customer is on whose behalf callers call, and whose jobs run.
type Customer struct {
	Name              string   `toml:"name" json:"name"`
	Team              string   `toml:"team" json:"team"`
	Keys              []string `toml:"keys" json:"keys"`   // SHA-256 sums of its keys in hex digits; the keys themselves stand nowhere
	Share             float64  `toml:"share" json:"share"` // of what there is when not all can run, against those of the others
	LimitCores        int      `toml:"limit_cores" json:"limit_cores"`
	LimitMemoryGB     int      `toml:"limit_memory_gb" json:"limit_memory_gb"`
	LimitAccelerators int      `toml:"limit_accelerators" json:"limit_accelerators"` // that its jobs may hold over all pools, 0 for no limit
}

// Pool asks for instances and states the budget that must hold.
type Pool struct {
	Name          string        `toml:"name" json:"name"`
	Team          string        `toml:"team" json:"team"`
	Size          int           `toml:"size" json:"size"`           // instances wanted
	MinAvailable  int           `toml:"available" json:"available"` // instances in service that must stay
	FailureDomain FailureDomain `toml:"survive" json:"survive"`     // domain whose loss leaves Available
	Kinds         []string      `toml:"kinds" json:"kinds"`         // kinds of worker allowed, empty for all
}

// Service is what callers ask for; its targets are the instances of a pool.
type Service struct {
	Name        string            `toml:"name" json:"name"`
	Team        string            `toml:"team" json:"team"`
	Pool        string            `toml:"pool" json:"pool"`
	Class       Class             `toml:"class" json:"class"`
	Deadline    tomlfile.Duration `toml:"deadline" json:"deadline"`     // for one request
	Repeatable  []string          `toml:"repeatable" json:"repeatable"` // methods that may be sent twice
	QueueLength int               `toml:"queue" json:"queue"`           // requests that may wait at an entry
	Stream      bool              `toml:"stream" json:"stream"`         // answers have no deadline once begun
	// CustomersOnly has it take requests with a customer's key only.
	CustomersOnly bool `toml:"customers_only" json:"customers_only"`
}

// Job is work that runs on the workers of a pool.
type Job struct {
	Name         string            `toml:"name" json:"name"`
	Team         string            `toml:"team" json:"team"`
	Pool         string            `toml:"pool" json:"pool"`
	Customer     string            `toml:"customer" json:"customer"` // whose job it is, empty for nobody's
	Class        Class             `toml:"class" json:"class"`
	Cores        int               `toml:"cores" json:"cores"`
	MemoryGB     int               `toml:"memory_gb" json:"memory_gb"`
	Accelerators int               `toml:"accelerators" json:"accelerators"`
	RunTime      tomlfile.Duration `toml:"run_time" json:"run_time"`     // declared, often wrong
	FinishBy     string            `toml:"finish_by" json:"finish_by"`   // HH:MM in UTC, empty for none
	DailyAt      string            `toml:"daily_at" json:"daily_at"`     // HH:MM in UTC, empty for once
	Repeatable   bool              `toml:"repeatable" json:"repeatable"` // may be run again
	Command      string            `toml:"command" json:"command"`       // what the worker is told to run
}

// Maintenance says how often every instance of a deployment is rebooted.
type Maintenance struct {
	Name   string            `toml:"name" json:"name"`
	Period tomlfile.Duration `toml:"period" json:"period"`
	From   string            `toml:"from" json:"from"` // HH:MM in UTC, empty for any time
	Until  string            `toml:"until" json:"until"`
}

// DueFraction is the part of the period after which an instance is due, so that a
// blocked one has the rest of the period to get its turn.
const DueFraction = 0.8

// PeriodFraction returns a part of the period.
func (m *Maintenance) PeriodFraction(share float64) time.Duration {
	return time.Duration(float64(m.Period.Std()) * share)
}

// Object is one declarative object; exactly one of its fields is not nil.
type Object struct {
	Team        *Team        `json:"team,omitempty"`
	Customer    *Customer    `json:"customer,omitempty"`
	Pool        *Pool        `json:"pool,omitempty"`
	Service     *Service     `json:"service,omitempty"`
	Job         *Job         `json:"job,omitempty"`
	Maintenance *Maintenance `json:"maintenance,omitempty"`
}

// Ref returns the object's name, the zero Ref for an empty object.
func (o Object) Ref() Ref {
	switch {
	case o.Team != nil:
		return Ref{KindTeam, o.Team.Name}
	case o.Customer != nil:
		return Ref{KindCustomer, o.Customer.Name}
	case o.Pool != nil:
		return Ref{KindPool, o.Pool.Name}
	case o.Service != nil:
		return Ref{KindService, o.Service.Name}
	case o.Job != nil:
		return Ref{KindJob, o.Job.Name}
	case o.Maintenance != nil:
		return Ref{KindMaintenance, o.Maintenance.Name}
	}
	return Ref{}
}

// Owner returns the team that may change the object; a team owns itself and
// maintenance belongs to nobody.
func (o Object) Owner() string {
	switch {
	case o.Team != nil:
		return o.Team.Name
	case o.Customer != nil:
		return o.Customer.Team
	case o.Pool != nil:
		return o.Pool.Team
	case o.Service != nil:
		return o.Service.Team
	case o.Job != nil:
		return o.Job.Team
	}
	return ""
}

// IsRepeatable reports whether a request with the method may be sent twice.
func (s *Service) IsRepeatable(method string) bool {
	return slices.Contains(s.Repeatable, method)
}

// AcceptsKind reports whether the pool takes workers of a kind.
func (p *Pool) AcceptsKind(kind string) bool {
	return len(p.Kinds) == 0 || slices.Contains(p.Kinds, kind)
}
