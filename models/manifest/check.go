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

// The bounds of the values in a file.
const (
	MaxPoolSize    = 10000
	MaxQueueLength = 100000
	MaxDeadline    = 10 * time.Minute
	MaxCores       = 1024
	MaxShare       = 1e6
)

var (
	namePattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	timeOfDayPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
	hashPattern      = regexp.MustCompile(`^[0-9a-f]{64}$`)
	domains          = []string{string(DomainWorker), string(DomainRack), string(DomainDataCenter)}
	requestClasses   = []string{string(Interactive), string(Batch)}
	jobClasses       = []string{string(Batch), string(LongRunning), string(Urgent)}
)

// checker collects the problems of one file.
type checker struct {
	file     string
	locator  tomlfile.Locator
	problems tomlfile.Problems
}

// tableAt identifies a table of the file: its kind and its index among those of the kind.
type tableAt struct {
	kind  Kind
	index int
}

func (c *checker) add(a tableAt, key, format string, args ...any) {
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
	c.name(tableAt{}, "deployment", f.Deployment)
	for i, t := range f.Teams {
		c.checkTeam(tableAt{KindTeam, i}, t)
	}
	for i, o := range f.Customers {
		c.checkCustomer(tableAt{KindCustomer, i}, o)
	}
	c.checkKeys(f.Customers)
	for i, p := range f.Pools {
		c.checkPool(tableAt{KindPool, i}, p)
	}
	for i, s := range f.Services {
		c.checkService(tableAt{KindService, i}, s)
	}
	for i, j := range f.Jobs {
		c.checkJob(tableAt{KindJob, i}, j)
	}
	for i, m := range f.Maintenance {
		c.checkMaintenance(tableAt{KindMaintenance, i}, m)
	}
	c.checkDuplicates(f)
}

func (c *checker) checkTeam(a tableAt, t Team) {
	c.name(a, "name", t.Name)
	c.between(a, "quota_cores", t.QuotaCores, 0, MaxPoolSize*MaxCores)
	c.between(a, "quota_memory_gb", t.QuotaMemoryGB, 0, MaxPoolSize*MaxCores)
	c.between(a, "quota_accelerators", t.QuotaAccelerators, 0, MaxPoolSize*MaxCores)
}

func (c *checker) checkCustomer(a tableAt, o Customer) {
	c.name(a, "name", o.Name)
	c.name(a, "team", o.Team)
	if o.Share < 0 || o.Share > MaxShare {
		c.add(a, "share", "%g is not allowed; allowed is above 0 and up to %g", o.Share, float64(MaxShare))
	}
	c.between(a, "limit_cores", o.LimitCores, 0, MaxPoolSize*MaxCores)
	c.between(a, "limit_memory_gb", o.LimitMemoryGB, 0, MaxPoolSize*MaxCores)
	c.between(a, "limit_accelerators", o.LimitAccelerators, 0, MaxPoolSize*MaxCores)
	for i, k := range o.Keys {
		if !hashPattern.MatchString(k) {
			c.add(a, "keys", "entry %d is not a key hash; allowed is the SHA-256 sum of a key in 64 lower-case hex digits (yardbridge customer-key generates a key and its hash)", i+1)
		}
	}
}

// checkKeys checks that no key belongs to two customers: the customer of a call would be ambiguous.
func (c *checker) checkKeys(customers []Customer) {
	holder := make(map[string]string)
	for i, o := range customers {
		for n, k := range o.Keys {
			if other, taken := holder[k]; taken {
				c.add(tableAt{KindCustomer, i}, "keys", "entry %d already belongs to customer %q; allowed is one customer for a key", n+1, other)
			}
			holder[k] = o.Name
		}
	}
}

func (c *checker) checkPool(a tableAt, p Pool) {
	c.name(a, "name", p.Name)
	if p.Name == SparePool {
		c.add(a, "name", "%q is reserved for the workers that are in no pool", SparePool)
	}
	c.name(a, "team", p.Team)
	c.between(a, "size", p.Size, 1, MaxPoolSize)
	c.between(a, "available", p.MinAvailable, 0, max(p.Size, 0))
	c.oneOf(a, "survive", string(p.FailureDomain), domains)
}

func (c *checker) checkService(a tableAt, s Service) {
	c.name(a, "name", s.Name)
	c.name(a, "team", s.Team)
	c.name(a, "pool", s.Pool)
	c.oneOf(a, "class", string(s.Class), requestClasses)
	c.duration(a, "deadline", s.Deadline, MaxDeadline)
	c.between(a, "queue", s.QueueLength, 0, MaxQueueLength)
	for _, m := range s.Repeatable {
		if m != strings.ToUpper(m) || m == "" {
			c.add(a, "repeatable", "%q is not a method; allowed are upper-case HTTP methods such as \"GET\"", m)
		}
	}
}

func (c *checker) checkJob(a tableAt, j Job) {
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
	c.timeOfDay(a, "finish_by", j.FinishBy)
	c.timeOfDay(a, "daily_at", j.DailyAt)
	if j.Class == LongRunning && j.DailyAt != "" {
		c.add(a, "daily_at", "conflicts with class = %q, which runs all the time", LongRunning)
	}
	if j.Class == LongRunning && !j.Repeatable {
		c.add(a, "repeatable", "must be true for class = %q, which is restarted whenever it ends", LongRunning)
	}
}

func (c *checker) checkMaintenance(a tableAt, m Maintenance) {
	c.name(a, "name", m.Name)
	c.timeOfDay(a, "from", m.From)
	c.timeOfDay(a, "until", m.Until)
	if (m.From == "") != (m.Until == "") {
		c.add(a, "from", "from and until belong together; set both or neither")
	}
	if m.Period < 0 {
		c.add(a, "period", "must be above 0")
	}
}

func (c *checker) checkDuplicates(f File) {
	seen := make(map[Ref]bool)
	counts := make(map[Kind]int)
	for _, o := range f.Objects() {
		r := o.Ref()
		a := tableAt{r.Kind, counts[r.Kind]}
		counts[r.Kind]++
		if seen[r] && r.Name != "" {
			c.add(a, "name", "%s is declared twice in this file", r)
		}
		seen[r] = true
	}
}

func (c *checker) name(a tableAt, key, value string) {
	if value == "" {
		c.add(a, key, "missing")
		return
	}
	if !namePattern.MatchString(value) {
		c.add(a, key, "%q is not allowed; a name has 1 to 63 lower-case letters, digits and inner hyphens", value)
	}
}

func (c *checker) between(a tableAt, key string, value, low, high int) {
	if value < low || value > high {
		c.add(a, key, "%d is not allowed; allowed is %d to %d", value, low, high)
	}
}

// oneOf accepts an empty value, since a default replaces it.
func (c *checker) oneOf(a tableAt, key, value string, allowed []string) {
	if value == "" || slices.Contains(allowed, value) {
		return
	}
	c.add(a, key, "%q is not allowed; allowed are %s", value, strings.Join(allowed, ", "))
}

func (c *checker) duration(a tableAt, key string, value tomlfile.Duration, high time.Duration) {
	if value < 0 || value.Std() > high {
		c.add(a, key, "%s is not allowed; allowed is above 0 and up to %s", value.Std(), high)
	}
}

func (c *checker) timeOfDay(a tableAt, key, value string) {
	if value != "" && !timeOfDayPattern.MatchString(value) {
		c.add(a, key, "%q is not a time of day; allowed is HH:MM from 00:00 to 23:59, in UTC", value)
	}
}
