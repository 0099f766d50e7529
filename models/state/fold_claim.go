// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"bytes"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/oncekey"
)

// MaxClaims bounds the number of keys kept at a time; beyond it new keys are rejected as not run.
// With responses of the maximum size they take about half of the memory that the control plane may
// use.
const MaxClaims = 100_000

// MaxReplyBytes is the size of the largest response body that is kept for a repetition.
const MaxReplyBytes = 1024

// foldClaim assigns a key to the first process that claims it.
func (s State) foldClaim(from author, c record.Claim) (State, error) {
	if err := oncekey.Check(c.Key, s.Now); err != nil {
		return s, err
	}
	if old, ok := s.Claims.Get(claimIndex(c.Key)); ok {
		return s, takenError(old, c.Sum)
	}
	if s.Claims.Len() >= MaxClaims {
		return s, errkind.New(errkind.Overloaded, "%d keys are in use, the maximum allowed", MaxClaims)
	}
	s.Claims = s.Claims.With(claimIndex(c.Key), Claim{
		Entry:       from.name,
		Incarnation: from.incarnation,
		Sum:         c.Sum,
		Offset:      s.Offset,
	})
	return s, nil
}

// takenError returns the state of a key that is already claimed, as an error.
func takenError(old Claim, sum []byte) error {
	switch {
	case !bytes.Equal(old.Sum, sum):
		return errkind.New(errkind.BadRequest, "the key was used for another request")
	case !old.Ended:
		return errkind.New(errkind.KeyInProgress, "a request with this key is in progress, or its outcome is unknown")
	case old.Reply == nil:
		return errkind.New(errkind.OutcomeUnknown, "a request with this key was sent and its outcome is unknown; it is not sent again")
	}
	return errkind.New(errkind.AlreadyRun, "a request with this key has already run")
}

// foldResult ends a claim; only its process may do so.
func (s State) foldResult(from author, r record.Result) (State, error) {
	c, ok := s.Claims.Get(claimIndex(r.Key))
	if !ok || c.Entry != from.name || c.Incarnation != from.incarnation || c.Offset != r.Claim || c.Ended {
		return s, errkind.New(errkind.Conflict, "key is not claimed by %s", from.name)
	}
	if r.NotRun {
		s.Claims = s.Claims.Without(claimIndex(r.Key))
		return s, nil
	}
	c.Ended = true
	c.Reply = r.Reply
	s.Claims = s.Claims.With(claimIndex(r.Key), c)
	return s, nil
}

// claimIndex orders keys by their expiry, whatever their length.
func claimIndex(key string) string {
	expiry, err := oncekey.Expiry(key)
	if err != nil {
		return key
	}
	return timeKey(expiry) + " " + key
}

// Claim returns the claim of a key, and false if the key is free.
func (s State) Claim(key string) (Claim, bool) {
	return s.Claims.Get(claimIndex(key))
}

// expireClaims drops the keys past their expiry; a key contains its expiry, so that it can't be
// claimed again afterwards.
func (s State) expireClaims() State {
	bound := timeKey(s.Now)
	for index := range s.Claims.All() {
		if index[:len(bound)] > bound {
			break
		}
		s.Claims = s.Claims.Without(index)
	}
	return s
}
