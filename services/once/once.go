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
	// ResultTimeout is how long a result waits for the log, 0 for the default.
	ResultTimeout time.Duration
}

// defaultResultTimeout is how long a result is retained while the log is unavailable.
const defaultResultTimeout = 10 * time.Minute

// Fingerprint returns the fingerprint that distinguishes a repeated request from another request
// with the same key.
func Fingerprint(method, path string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return h.Sum(nil)[:16]
}

// Claim is the right to dispatch the request with a key once; no other process has it.
type Claim struct {
	Key    string
	Offset uint64 // of the claim
}

// Claim reserves the key for one dispatch by the caller of this function. If a response is stored
// for the key, it is returned with an AlreadyRun error.
func (s *Service) Claim(ctx context.Context, key string, fingerprint []byte) (Claim, *record.Reply, error) {
	if err := oncekey.Check(key, s.Clock.Now()); err != nil {
		return Claim{}, nil, err
	}
	late := func(verdicts []state.Verdict) { s.releaseClaim(key, verdicts) }
	records := []record.Record{{Claim: &record.Claim{Key: key, Sum: fingerprint}}}
	verdicts, err := s.Ledger.Propose(ctx, records, late)
	if err != nil {
		return Claim{}, nil, notRun(err)
	}
	c, _ := s.Ledger.State().Claim(key)
	if verdicts[0] == nil {
		return Claim{Key: key, Offset: c.Offset}, nil, nil
	}
	if errkind.Is(verdicts[0], errkind.AlreadyRun) {
		return Claim{}, c.Reply, verdicts[0]
	}
	return Claim{}, nil, verdicts[0]
}

// notRun converts an error of a claim into one that is true of the request: whether or not the
// claim was accepted, this process has not dispatched the request.
func notRun(err error) error {
	e := errkind.Of(err)
	if e.Kind == errkind.OutcomeUnknown {
		return errkind.NewRetry(errkind.LogUnavailable, e.RetryDelay(), "the key could not be claimed in time: %s", e.Message)
	}
	return err
}

// releaseClaim releases a key whose claim was accepted after its request had been refused.
func (s *Service) releaseClaim(key string, verdicts []state.Verdict) {
	if verdicts[0] == nil {
		c, _ := s.Ledger.State().Claim(key)
		s.Finish(record.Result{Key: key, Claim: c.Offset, NotRun: true})
	}
}

// Finish records the result of a claimed request. It waits for the log up to ResultTimeout; if the
// result is not recorded, the key stays claimed and repeated requests are refused.
func (s *Service) Finish(r record.Result) {
	timeout := s.ResultTimeout
	if timeout == 0 {
		timeout = defaultResultTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if _, err := s.Ledger.Propose(ctx, []record.Record{{Result: &r}}, nil); err != nil {
		s.Logger.Warn().Err(err).Msg("the result of a keyed request was not recorded")
	}
}
