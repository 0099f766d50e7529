// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package manifest

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// The bounds of what a file may ask for.
const (
	MaxPoolSize    = 10000
	MaxQueueLength = 100000
	MaxDeadline    = 10 * time.Minute
	MaxCores       = 1024
	MaxShare       = 1e6
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	clockPattern   = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
	sumPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	domains        = []string{string(DomainWorker), string(DomainRack), string(DomainDataCenter)}
	requestClasses = []string{string(Interactive), string(Batch)}
	jobClasses     = []string{string(Batch), string(LongRunning), string(Urgent)}
)

// checker gathers the problems of one file.
type checker struct {
	file     string
	locator  tomlfile.Locator
	problems tomlfile.Problems
}

// at is a table of the file: its name and which one of that name.
type at struct {
	kind  Kind
	index int
}

func (c *checker) add(a at, key, format string, args ...any) {
	full := key
	if a.kind != "" {
		full = fmt.Sprintf("%s.%s", a.kind, key)
	}
	c.problems = append(c.problems, tomlfile.Problem{
		File:    c.file,
		Line:    c.locator.Line(string(a.kind), a.index, key),
		Key:     full,
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkFile(f File) {
	c.name(at{}, "deployment", f.Deployment)
	for i, t := range f.Teams {
		c.checkTeam(at{KindTeam, i}, t)
	}
	for i, o := range f.Customers {
		c.checkCustomer(at{KindCustomer, i}, o)
	}
	c.checkKeys(f.Customers)
	for i, p := range f.Pools {
		c.checkPool(at{KindPool, i}, p)
	}
	for i, s := range f.Services {
		c.checkService(at{KindService, i}, s)
	}
	for i, j := range f.Jobs {
		c.checkJob(at{KindJob, i}, j)
	}
	for i, m := range f.Maintenance {
		c.checkMaintenance(at{KindMaintenance, i}, m)
	}
	c.checkDoubles(f)
}

func (c *checker) checkTeam(a at, t Team) {
	c.name(a, "name", t.Name)
	c.between(a, "quota_cores", t.QuotaCores, 0, MaxPoolSize*MaxCores)
	c.between(a, "quota_memory_gb", t.QuotaMemoryGB, 0, MaxPoolSize*MaxCores)
	c.between(a, "quota_accelerators", t.QuotaAccelerators, 0, MaxPoolSize*MaxCores)
}

func (c *checker) checkCustomer(a at, o Customer) {
	c.name(a, "name", o.Name)
	c.name(a, "team", o.Team)
	if o.Share < 0 || o.Share > MaxShare {
		c.add(a, "share", "%g is not allowed; allowed is above 0 and up to %g", o.Share, float64(MaxShare))
	}
	c.between(a, "limit_cores", o.LimitCores, 0, MaxPoolSize*MaxCores)
	c.between(a, "limit_memory_gb", o.LimitMemoryGB, 0, MaxPoolSize*MaxCores)
	c.between(a, "limit_accelerators", o.LimitAccelerators, 0, MaxPoolSize*MaxCores)
	for i, k := range o.Keys {
		if !sumPattern.MatchString(k) {
			c.add(a, "keys", "entry %d is no sum of a key; allowed is its SHA-256 sum in 64 lower-case hex digits (yardbridge customer-key makes a key and its sum)", i+1)
		}
	}
}

// checkKeys checks that no key is held twice: whose call it is would not be known.
func (c *checker) checkKeys(customers []Customer) {
	holder := make(map[string]string)
	for i, o := range customers {
		for n, k := range o.Keys {
			if other, held := holder[k]; held {
				c.add(at{KindCustomer, i}, "keys", "entry %d is held by customer %q already; allowed is one holder for a key", n+1, other)
			}
			holder[k] = o.Name
		}
	}
}

func (c *checker) checkPool(a at, p Pool) {
	c.name(a, "name", p.Name)
	if p.Name == SparePool {
		c.add(a, "name", "%q is kept for the workers that no pool holds", SparePool)
	}
	c.name(a, "team", p.Team)
	c.between(a, "size", p.Size, 1, MaxPoolSize)
	c.between(a, "available", p.MinAvailable, 0, max(p.Size, 0))
	c.oneOf(a, "survive", string(p.FailureDomain), domains)
}

func (c *checker) checkService(a at, s Service) {
	c.name(a, "name", s.Name)
	c.name(a, "team", s.Team)
	c.name(a, "pool", s.Pool)
	c.oneOf(a, "class", string(s.Class), requestClasses)
	c.span(a, "deadline", s.Deadline, MaxDeadline)
	c.between(a, "queue", s.QueueLength, 0, MaxQueueLength)
	for _, m := range s.Repeatable {
		if m != strings.ToUpper(m) || m == "" {
			c.add(a, "repeatable", "%q is no method; allowed are upper-case HTTP methods such as \"GET\"", m)
		}
	}
}

func (c *checker) checkJob(a at, j Job) {
	c.name(a, "name", j.Name)
	c.name(a, "team", j.Team)
	c.name(a, "pool", j.Pool)
	if j.Customer != "" {
		c.name(a, "customer", j.Customer)
	}
	c.oneOf(a, "class", string(j.Class), jobClasses)
	c.between(a, "cores", j.Cores, 1, MaxCores)
	c.between(a, "memory_gb", j.MemoryGB, 1, MaxCores*MaxCores)
	c.between(a, "accelerators", j.Accelerators, 0, MaxCores)
	c.clock(a, "finish_by", j.FinishBy)
	c.clock(a, "daily_at", j.DailyAt)
	if j.Class == LongRunning && j.DailyAt != "" {
		c.add(a, "daily_at", "clashes with class = %q, which runs all the time", LongRunning)
	}
	if j.Class == LongRunning && !j.Repeatable {
		c.add(a, "repeatable", "must be true for class = %q, which is started again whenever it ends", LongRunning)
	}
}

func (c *checker) checkMaintenance(a at, m Maintenance) {
	c.name(a, "name", m.Name)
	c.clock(a, "from", m.From)
	c.clock(a, "until", m.Until)
	if (m.From == "") != (m.Until == "") {
		c.add(a, "from", "from and until go together; set both or neither")
	}
	if m.Period < 0 {
		c.add(a, "period", "must be above 0")
	}
}

func (c *checker) checkDoubles(f File) {
	seen := make(map[Ref]bool)
	counts := make(map[Kind]int)
	for _, o := range f.Objects() {
		r := o.Ref()
		a := at{r.Kind, counts[r.Kind]}
		counts[r.Kind]++
		if seen[r] && r.Name != "" {
			c.add(a, "name", "%s stands twice in this file", r)
		}
		seen[r] = true
	}
}

func (c *checker) name(a at, key, value string) {
	if value == "" {
		c.add(a, key, "missing")
		return
	}
	if !namePattern.MatchString(value) {
		c.add(a, key, "%q is not allowed; a name has 1 to 63 lower-case letters, digits and inner hyphens", value)
	}
}

func (c *checker) between(a at, key string, value, low, high int) {
	if value < low || value > high {
		c.add(a, key, "%d is not allowed; allowed is %d to %d", value, low, high)
	}
}

// oneOf lets an empty value pass, since a default takes its place.
func (c *checker) oneOf(a at, key, value string, allowed []string) {
	if value == "" || slices.Contains(allowed, value) {
		return
	}
	c.add(a, key, "%q is not allowed; allowed are %s", value, strings.Join(allowed, ", "))
}

func (c *checker) span(a at, key string, value tomlfile.Duration, high time.Duration) {
	if value < 0 || value.Std() > high {
		c.add(a, key, "%s is not allowed; allowed is above 0 and up to %s", value.Std(), high)
	}
}

func (c *checker) clock(a at, key, value string) {
	if value != "" && !clockPattern.MatchString(value) {
		c.add(a, key, "%q is no time of day; allowed is HH:MM from 00:00 to 23:59, in UTC", value)
	}
}
