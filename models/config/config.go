// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package config

import (
	"net"
	"strings"
	"time"
)

// Config is one version of the operators' configuration; it is immutable.
type Config struct {
	Version uint64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// Customers are the customers on whose behalf callers call; see WithCustomers.
	Customers []Customer
	byHost    map[string][]*Queue
	byKey     map[string]*Queue
	byHash    map[KeyHash]*Customer
	byName    map[string]*Customer
}

// Queue routes the jobs of a host and path prefix to the workers of a pool.
type Queue struct {
	Name           string
	Host           string
	PathPrefix     string
	Pool           string
	Priority       int           // 0 comes first and may preempt others
	MaxAttempts    int           `json:"Attempts"` // failed runs of a task that fail its job, 0 for no limit
	Stretch        float64       // factor on the longest chain of steps of a job, for its latency objective
	BaseObjective  time.Duration `json:"Target"` // added to that
	Advice         *Advice       // nil if every worker may run a step
	AllowAnonymous bool          `json:"Anyone"` // accepts calls without a key
}

// Key identifies the queue as long as its host and prefix stay the same.
func (q *Queue) Key() string { return q.Host + q.PathPrefix }

// Advice states the response times of the advice service for a queue whose tasks need its advice.
type Advice struct {
	CallTime       time.Duration `json:"Decide"` // for one call
	TimePerWorker  time.Duration `json:"Each"`   // for each worker in a query
	TicketValidity time.Duration `json:"Valid"`  // how long a ticket is valid
}

// Pool is a group of instances that run the tasks of queues.
type Pool struct {
	Name            string
	RejectsOverload bool `json:"Guards"` // its workers reject what does not fit; others start every task that they are sent
	Headroom        bool // its instances are switched off and cost nothing
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a configuration with its indexes.
func New(version uint64, queues []Queue, pools []Pool, limits Limits) *Config {
	c := &Config{
		Version: version, Queues: queues, Pools: pools, Limits: limits,
		byHost: make(map[string][]*Queue, len(queues)),
		byKey:  make(map[string]*Queue, len(queues)),
	}
	for i := range queues {
		q := &queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		c.byKey[q.Key()] = q
	}
	return c
}

// Route returns the queue with the longest prefix of the path, nil for none.
func (c *Config) Route(host, path string) *Queue {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// Queue returns the queue with the key, nil for none.
func (c *Config) Queue(key string) *Queue { return c.byKey[key] }

// PoolsOfQueues returns the pool of each queue, by the queue's key, unless its instances are switched off or the
// configuration does not have it.
func (c *Config) PoolsOfQueues() map[string]string {
	pools := make(map[string]string, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		if p := c.Pool(q.Pool); p != nil && !p.Headroom {
			pools[q.Key()] = q.Pool
		}
	}
	return pools
}

// Pool returns the pool with the name, nil for none.
func (c *Config) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// Headroom returns the name of the pool whose instances are switched off, "" for none.
func (c *Config) Headroom() string {
	for i := range c.Pools {
		if c.Pools[i].Headroom {
			return c.Pools[i].Name
		}
	}
	return ""
}
