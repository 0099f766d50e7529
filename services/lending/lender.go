// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lending

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// The lender has a bound for each pool: the most that the pool may be using, whoever owns it now.
// Bounds are persisted in the journal of the role for instances. A higher bound is persisted before
// it is sent to the pool. A lower one is sent first, and becomes the bound once the pool's owner
// reports that it has persisted it. So the sum of the bounds is correct after every failure and
// does not depend on a clock: a pool without an owner keeps its bound until the next owner
// responds, and after a change of the holder until the pool has persisted allowances of the new one.

// prefixBound is the prefix of the journal keys of the bounds; the pool's name follows.
const prefixBound = "q/"

// defaultShare is the fraction of every limit that the pools together have without requesting it. A
// customer that uses less than that causes no messages. The other half is lent by demand.
const defaultShare = 0.5

// forgetAfter is how long a pool that was removed from the configuration must be without a report
// until its bound is free again: by then everything that ran there without an owner has expired.
const forgetAfter = 30 * time.Second

// Lender decides on the allowances of all pools. Its zero value knows no pools. It is not safe for
// concurrent use.
type Lender struct {
	Epoch  uint64 // of the holder of the role
	Logger log.Logger

	number   uint64
	states   map[string]*poolState // by pool
	sharedAt map[string]time.Time  // when a customer's limit was last shared out
	wanted   map[string]time.Time  // when a customer's accounts were last requested from all pools
}

// poolState is the known state of one pool.
type poolState struct {
	pool        string
	bound       quota.Allowances     // the most that the pool may be using; the epoch that has set it does not matter
	sent        quota.Allowances     // the newest allowances sent to the pool
	reported    bool                 // the pool has reported its allowances to this holder
	confirmed   bool                 // the pool has the newest allowances
	lastContact time.Time            // time of the last report, or when the pool was added
	idleSince   map[string]time.Time // since when the pool has not used much of what it was lent, by customer
	report      quota.Report         // the newest report
}

// Restore reads a record of an earlier holder's journal. Records other than bounds are skipped.
func (l *Lender) Restore(r port.Record, now time.Time) error {
	pool, is := strings.CutPrefix(r.Key, prefixBound)
	if !is || len(r.Value) == 0 {
		return nil
	}
	var bound quota.Allowances
	if err := codec.Unmarshal(r.Value, &bound); err != nil {
		return errors.Annotatef(err, "bound of pool %s", pool)
	}
	l.state(pool, now).bound = bound
	return nil
}

func (l *Lender) state(pool string, now time.Time) *poolState {
	if l.states == nil {
		l.states = make(map[string]*poolState)
	}
	if l.states[pool] == nil {
		l.states[pool] = &poolState{pool: pool, lastContact: now}
	}
	return l.states[pool]
}

// WantedAccounts returns the customers whose accounts are requested from all pools, in order.
func (l *Lender) WantedAccounts() []string { return slices.Sorted(maps.Keys(l.wanted)) }

// Query returns the query for a pool's owner.
func (l *Lender) Query(pool string) quota.Query {
	q := quota.Query{Epoch: l.Epoch, Accounts: l.WantedAccounts()}
	if b := l.states[pool]; b != nil && b.reported && !b.confirmed {
		allowances := b.sent
		q.Allowances = &allowances
	}
	return q
}

// DuePools returns the pools to be queried at once, in order: those that have not confirmed the
// newest allowances, and those that have not reported a requested account.
func (l *Lender) DuePools() []string {
	return slices.DeleteFunc(l.pools(), func(pool string) bool {
		b := l.states[pool]
		return !b.reported || b.confirmed && b.hasReported(l.wanted)
	})
}

// hasReported reports whether a pool has reported the accounts of customers.
func (b *poolState) hasReported(customers map[string]time.Time) bool {
	for customer := range customers {
		if _, reported := b.account(customer); !reported {
			return false
		}
	}
	return true
}

// requestFor is how long an account is requested after it was last wanted: a customer at its limit
// usually stays there for a while.
const requestFor = time.Second

func (l *Lender) pools() []string { return slices.Sorted(maps.Keys(l.states)) }

// ApplyReport applies a pool's report. Reports from an owner that has been replaced, or older than
// the newest report, are ignored.
func (l *Lender) ApplyReport(pool string, s quota.Report, now time.Time) {
	b := l.state(pool, now)
	if s.OwnerEpoch < b.report.OwnerEpoch || s.OwnerEpoch == b.report.OwnerEpoch && s.Allowances.OlderThan(b.report.Allowances) {
		return
	}
	b.report, b.lastContact = s, now
	if !b.reported {
		b.sent, b.reported, b.confirmed = s.Allowances, true, true
		if s.Current != nil { // its reductions count once the pool has persisted them
			b.sent, b.confirmed = *s.Current, false
		}
		l.Logger.Info().Str("event", "allowance").Str("of", pool).Uint64("owner", s.OwnerEpoch).Uint64("epoch", b.sent.Epoch).Uint64("number", b.sent.Revision).
			Uint64("config", b.sent.Version).Bool("persisted", b.confirmed).Str("outcome", "reported").Msg("first report of a pool to this holder")
		return
	}
	b.confirmed = s.Allowances.Epoch == b.sent.Epoch && s.Allowances.Revision == b.sent.Revision
}

// Plan decides on the allowances for a configuration and returns the records that must be persisted
// before the allowances are sent to any pool.
func (l *Lender) Plan(c *config.Config, now time.Time) ([]port.Record, error) {
	if !hasLimits(c) && len(l.states) == 0 {
		return nil, nil
	}
	p := l.begin(c, now)
	p.lower()
	p.setDefaultParts()
	p.resumePaused()
	p.reclaim()
	p.lend()
	p.replaceEarlier()
	maps.DeleteFunc(l.wanted, func(_ string, since time.Time) bool { return now.Sub(since) > requestFor })
	return p.changes()
}

func hasLimits(c *config.Config) bool {
	return slices.ContainsFunc(c.Customers, func(o config.Customer) bool { return quota.HasLimit(o.Limit) })
}

// account returns a pool's account of a customer, and false if it has reported none. In that case
// its demand is less than half of its allowance.
func (b *poolState) account(customer string) (quota.Account, bool) {
	a, reported := b.report.Accounts[customer]
	return a, reported
}

// follows reports whether a pool has reported that it uses a version of the configuration. A pool
// with another version is lent nothing, because it may never learn of this version's limit. If the
// next version lowers that limit, such a pool sees no reduction: it would not pause the customer
// and would keep using what it was lent.
func (b *poolState) follows(version uint64) bool {
	return b.reported && b.report.ConfigVersion == version
}

// boundFor returns the most that a pool may be using of a customer's limit.
func (b *poolState) boundFor(customer string, limit job.Size) job.Size {
	return b.bound.For(customer, limit)
}
