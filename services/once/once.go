// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/oncekey"
)

// Proposer is the part of the ledger that claims need.
type Proposer struct {
	Propose func(ctx context.Context, records []record.Record, late func([]state.Verdict)) ([]state.Verdict, error)
	State   func() state.State
}

// Service claims keys for this entry.
type Service struct {
	Ledger Proposer
	Clock  clock.Clock
	Logger log.Logger
	// ResultTimeout bounds how long a result waits for the log, 0 for the default.
	ResultTimeout time.Duration
}

// resultLife is how long a result is kept for a log that is down.
const resultLife = 10 * time.Minute

// Fingerprint returns the fingerprint by which a repeat of a request is told from
// another one that uses its key.
func Fingerprint(method, path string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return h.Sum(nil)[:16]
}

// Claim is a key that this process alone may dispatch, once.
type Claim struct {
	Key    string
	Offset uint64 // of the claim
}

// Claim reserves the key for one dispatch by the caller of this function. It
// returns the kept answer, where there is one, with an AlreadyRun error.
func (d *Service) Claim(ctx context.Context, key string, sum []byte) (Claim, *record.Reply, error) {
	if err := oncekey.Check(key, d.Clock.Now()); err != nil {
		return Claim{}, nil, err
	}
	late := func(verdicts []state.Verdict) { d.giveBack(key, verdicts) }
	records := []record.Record{{Claim: &record.Claim{Key: key, Sum: sum}}}
	verdicts, err := d.Ledger.Propose(ctx, records, late)
	if err != nil {
		return Claim{}, nil, notRun(err)
	}
	c, _ := d.Ledger.State().Claim(key)
	if verdicts[0] == nil {
		return Claim{Key: key, Offset: c.Offset}, nil, nil
	}
	if errkind.Is(verdicts[0], errkind.AlreadyRun) {
		return Claim{}, c.Reply, verdicts[0]
	}
	return Claim{}, nil, verdicts[0]
}

// notRun turns every failure to claim into one that is true of the request:
// whatever became of the claim, this process has not dispatched it.
func notRun(err error) error {
	e := errkind.Of(err)
	if e.Kind == errkind.OutcomeUnknown {
		return errkind.NewRetry(errkind.LogUnavailable, e.RetryDelay(), "the key could not be claimed in time: %s", e.Message)
	}
	return err
}

// giveBack frees a key whose claim was accepted after its request had been
// refused.
func (d *Service) giveBack(key string, verdicts []state.Verdict) {
	if verdicts[0] == nil {
		c, _ := d.Ledger.State().Claim(key)
		d.Finish(record.Result{Key: key, Claim: c.Offset, NotRun: true})
	}
}

// Finish records how a claimed request ended. It waits for the log for a
// while; without it the key stays taken, which refuses repeats.
func (d *Service) Finish(r record.Result) {
	life := d.ResultTimeout
	if life == 0 {
		life = resultLife
	}
	ctx, cancel := context.WithTimeout(context.Background(), life)
	defer cancel()
	if _, err := d.Ledger.Propose(ctx, []record.Record{{Result: &r}}, nil); err != nil {
		d.Logger.Warn().Err(err).Msg("the outcome of a keyed request is not recorded")
	}
}
