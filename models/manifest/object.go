// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package manifest

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// SparePool is the pool of all workers that are in no declared pool.
const SparePool = "spare"

// Kind is the kind of a declarative object.
type Kind string

// The kinds of declarative objects.
const (
	KindTeam        Kind = "team"
	KindCustomer    Kind = "customer"
	KindPool        Kind = "pool"
	KindService     Kind = "service"
	KindJob         Kind = "job"
	KindMaintenance Kind = "maintenance"
)

// Ref identifies a declarative object.
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

// Customer is a party on whose behalf callers call, and whose jobs run.
type Customer struct {
	Name              string   `toml:"name" json:"name"`
	Team              string   `toml:"team" json:"team"`
	Keys              []string `toml:"keys" json:"keys"`   // SHA-256 sums of its keys in hex digits; the keys themselves are not stored
	Share             float64  `toml:"share" json:"share"` // weight of the customer when not all can run
	LimitCores        int      `toml:"limit_cores" json:"limit_cores"`
	LimitMemoryGB     int      `toml:"limit_memory_gb" json:"limit_memory_gb"`
	LimitAccelerators int      `toml:"limit_accelerators" json:"limit_accelerators"` // that its jobs may use over all pools, 0 for no limit
}

// Pool requests instances and states the availability budget that must be kept.
type Pool struct {
	Name          string        `toml:"name" json:"name"`
	Team          string        `toml:"team" json:"team"`
	Size          int           `toml:"size" json:"size"`           // instances wanted
	MinAvailable  int           `toml:"available" json:"available"` // instances in service that must stay
	FailureDomain FailureDomain `toml:"survive" json:"survive"`     // domain whose loss must leave MinAvailable
	Kinds         []string      `toml:"kinds" json:"kinds"`         // kinds of worker allowed, empty for all
}

// Service is what callers send requests to; its targets are the instances of a pool.
type Service struct {
	Name        string            `toml:"name" json:"name"`
	Team        string            `toml:"team" json:"team"`
	Pool        string            `toml:"pool" json:"pool"`
	Class       Class             `toml:"class" json:"class"`
	Deadline    tomlfile.Duration `toml:"deadline" json:"deadline"`     // for one request
	Repeatable  []string          `toml:"repeatable" json:"repeatable"` // methods that may be sent twice
	QueueLength int               `toml:"queue" json:"queue"`           // requests that may wait at an entry
	Stream      bool              `toml:"stream" json:"stream"`         // responses have no deadline once begun
	// CustomersOnly restricts the service to requests with a customer's key.
	CustomersOnly bool `toml:"customers_only" json:"customers_only"`
}

// Job is work that runs on the workers of a pool.
type Job struct {
	Name         string            `toml:"name" json:"name"`
	Team         string            `toml:"team" json:"team"`
	Pool         string            `toml:"pool" json:"pool"`
	Customer     string            `toml:"customer" json:"customer"` // owner of the job, empty for none
	Class        Class             `toml:"class" json:"class"`
	Cores        int               `toml:"cores" json:"cores"`
	MemoryGB     int               `toml:"memory_gb" json:"memory_gb"`
	Accelerators int               `toml:"accelerators" json:"accelerators"`
	RunTime      tomlfile.Duration `toml:"run_time" json:"run_time"`     // declared, often inaccurate
	FinishBy     string            `toml:"finish_by" json:"finish_by"`   // HH:MM in UTC, empty for none
	DailyAt      string            `toml:"daily_at" json:"daily_at"`     // HH:MM in UTC, empty for once
	Repeatable   bool              `toml:"repeatable" json:"repeatable"` // may be run again
	Command      string            `toml:"command" json:"command"`       // command that the worker runs
}

// Maintenance states how often every instance of a deployment is rebooted.
type Maintenance struct {
	Name   string            `toml:"name" json:"name"`
	Period tomlfile.Duration `toml:"period" json:"period"`
	From   string            `toml:"from" json:"from"` // HH:MM in UTC, empty for any time
	Until  string            `toml:"until" json:"until"`
}

// DueFraction is the fraction of the period after which an instance is due, so that a blocked one
// has the remainder of the period for its maintenance.
const DueFraction = 0.8

// PeriodFraction returns a fraction of the period.
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

// Owner returns the team that may change the object; a team owns itself, and maintenance has no
// owner.
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

// AcceptsKind reports whether the pool accepts workers of a kind.
func (p *Pool) AcceptsKind(kind string) bool {
	return len(p.Kinds) == 0 || slices.Contains(p.Kinds, kind)
}
