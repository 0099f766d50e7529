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

// For each pool the lender has a bound: the most that the pool may be using, whoever owns
// it now. Bounds are kept in the journal of the duty for instances, and a higher one before
// the pool is told of it. A lower one is told first, and becomes the bound once the pool's
// owner says that it has kept it. So the sum of the bounds is right after every failure,
// and no clock decides on it: what a pool without an owner holds stays with it until the
// next owner answers.

// prefixBound begins the keys of the bounds in the journal, with the pool's name.
const prefixBound = "q/"

// standingShare is which part of every limit the pools have among them without being asked
// for it. A customer that uses less than that costs no word; the other half is lent by need.
const standingShare = 0.5

// forgetAfter is for how long a pool that has left the configuration must have told nothing
// until what it had is free: without an owner all that ran there has lapsed long since.
const forgetAfter = 30 * time.Second

// Lender decides on the allowances of all pools; its zero value knows none. It is not safe
// for concurrent use.
type Lender struct {
	Epoch  uint64 // of the holder of the duty
	Logger log.Logger

	number uint64
	books  map[string]*book     // by pool
	shared map[string]time.Time // when a customer's limit was last shared out
	asks   map[string]time.Time // customers whose accounts are wanted from all pools, since when last
}

// book is what is known of one pool.
type book struct {
	pool  string
	bound quota.Allowances     // the most that it may be using; which holder has set it does not matter
	told  quota.Allowances     // the newest that it is told
	heard bool                 // it has told which it has, since this holder holds the duty
	taken bool                 // it has the newest
	since time.Time            // when it reported last, or was first known
	idle  map[string]time.Time // since when it has not used much of what it was lent, by customer
	said  quota.Report         // the newest
}

// Restore takes a record of an earlier holder's journal; others than those of bounds are
// passed over.
func (l *Lender) Restore(r port.Record, now time.Time) error {
	pool, is := strings.CutPrefix(r.Key, prefixBound)
	if !is || len(r.Value) == 0 {
		return nil
	}
	var bound quota.Allowances
	if err := codec.Unmarshal(r.Value, &bound); err != nil {
		return errors.Annotatef(err, "bound of pool %s", pool)
	}
	l.book(pool, now).bound = bound
	return nil
}

func (l *Lender) book(pool string, now time.Time) *book {
	if l.books == nil {
		l.books = make(map[string]*book)
	}
	if l.books[pool] == nil {
		l.books[pool] = &book{pool: pool, since: now}
	}
	return l.books[pool]
}

// WantedAccounts returns the customers whose accounts are wanted from all pools, in order.
func (l *Lender) WantedAccounts() []string { return slices.Sorted(maps.Keys(l.asks)) }

// Query returns what a pool's owner is to be asked.
func (l *Lender) Query(pool string) quota.Query {
	q := quota.Query{Epoch: l.Epoch, Accounts: l.WantedAccounts()}
	if b := l.books[pool]; b != nil && b.heard && !b.taken {
		told := b.told
		q.Allowances = &told
	}
	return q
}

// DuePools returns the pools to be asked at once, in order: those that have not said yet that they
// have the newest allowances, and those that have not told an account that is wanted.
func (l *Lender) DuePools() []string {
	return slices.DeleteFunc(l.pools(), func(pool string) bool {
		b := l.books[pool]
		return !b.heard || b.taken && b.hasTold(l.asks)
	})
}

// hasTold reports whether a pool has told the accounts of customers.
func (b *book) hasTold(customers map[string]time.Time) bool {
	for customer := range customers {
		if _, told := b.account(customer); !told {
			return false
		}
	}
	return true
}

// askFor is for how long an account goes on being asked for that was wanted: a customer that
// is at its limit stays there for a while.
const askFor = time.Second

func (l *Lender) pools() []string { return slices.Sorted(maps.Keys(l.books)) }

// ApplyReport takes a pool's statement. What comes from an owner that another has replaced, or was
// said before the newest, is passed over.
func (l *Lender) ApplyReport(pool string, s quota.Report, now time.Time) {
	b := l.book(pool, now)
	if s.OwnerEpoch < b.said.OwnerEpoch || s.OwnerEpoch == b.said.OwnerEpoch && s.Allowances.OlderThan(b.said.Allowances) {
		return
	}
	b.said, b.since = s, now
	if !b.heard {
		b.told, b.heard, b.taken = s.Allowances, true, true
		return
	}
	b.taken = s.Allowances.Epoch == b.told.Epoch && s.Allowances.Revision == b.told.Revision
}

// Plan decides on the allowances by a configuration, and returns the records that must be
// kept before any pool is told of them.
func (l *Lender) Plan(c *config.Config, now time.Time) ([]port.Record, error) {
	if !hasLimits(c) && len(l.books) == 0 {
		return nil, nil
	}
	p := l.begin(c, now)
	p.lower()
	p.standingParts()
	p.settle()
	p.relax()
	p.lend()
	maps.DeleteFunc(l.asks, func(_ string, since time.Time) bool { return now.Sub(since) > askFor })
	return p.changes()
}

func hasLimits(c *config.Config) bool {
	return slices.ContainsFunc(c.Customers, func(o config.Customer) bool { return quota.HasLimit(o.Limit) })
}

// account returns what a pool has told of a customer, and false where it has told nothing:
// then it wants less than half of its allowance.
func (b *book) account(customer string) (quota.Account, bool) {
	a, told := b.said.Accounts[customer]
	return a, told
}

// follows reports whether a pool has told that it goes by a version of the configuration. One
// that goes by another is lent nothing: of a limit that it never gets to know a lower one may
// be the next, and it holds back only what was lent by limits that it has known.
func (b *book) follows(version uint64) bool { return b.heard && b.said.ConfigVersion == version }

// most returns the most that a pool may be using of a customer's.
func (b *book) most(customer string, limit job.Size) job.Size { return b.bound.For(customer, limit) }
