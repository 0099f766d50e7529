// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// reset makes the writer that of a new claim.
func (s *spareWriter) reset(epoch uint64) {
	*s = spareWriter{session: session{Epoch: epoch}, newer: make(map[string]spare), held: make(map[string]bool)}
}

// spareAnswers reports whether records may be in the spare partition, by what was read at home.
// They may only be claimed while it answers: no other writer could take the journal over else.
func (j *Journal) spareAnswers(ctx context.Context, before reading) (inUse bool, err error) {
	m, err := find[spareMark](before.records, keySpare)
	if err != nil || !m.InUse {
		return false, err
	}
	_, err = j.Store.Newest(ctx, j.Standby, "")
	return true, err
}

// spareClaim is the claim of a spare partition, and what it holds.
type spareClaim struct {
	records []port.Record
	begun   bool
	fenced  bool
	err     error
}

// run fences the spare partition and reads it.
func (c *spareClaim) run(ctx context.Context, j *Journal, mine claim) {
	c.begun = true
	if c.err = j.fence(ctx, &j.spare.partWriter, j.Standby, mine); c.err != nil {
		return
	}
	c.fenced = true
	c.records, c.err = j.readAll(ctx, j.Standby)
}

// withSpare returns the records at home with those of the spare partition, where that is in
// use by what was read at home once that was fenced.
func (j *Journal) withSpare(ctx context.Context, mine claim, records []port.Record, c *spareClaim) ([]port.Record, error) {
	m, err := find[spareMark](records, keySpare)
	if err != nil {
		return nil, err
	}
	s := &j.spare
	if m.InUse && !c.begun {
		c.run(ctx, j, mine)
	}
	s.mark, s.fenced, s.asked = m, c.fenced, j.Clock.Now()
	if !m.InUse {
		return records, nil
	}
	if c.err != nil {
		return nil, c.err
	}
	return s.merge(records, c.records)
}

// merge returns the records at home with those of the spare partition that are newer.
func (s *spareWriter) merge(home, kept []port.Record) ([]port.Record, error) {
	newest := newestOf(home)
	for _, r := range kept {
		if r.Key == keyClaim {
			continue
		}
		s.held[r.Key] = true
		var v spareRecord
		if err := codec.Unmarshal(r.Value, &v); err != nil {
			return nil, err
		}
		if !v.Session.after(s.mark.Copied) {
			continue
		}
		newer := port.Record{Key: r.Key, Value: v.Value}
		s.add(newer)
		newest.put(newer)
	}
	return newest.inOrder(), nil
}
