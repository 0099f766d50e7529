// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// reset resets the writer for a new claim.
func (s *standbyWriter) reset(epoch uint64) {
	*s = standbyWriter{session: session{Epoch: epoch}, newer: make(map[string]standbyEntry), keys: make(map[string]bool)}
}

// standbyInUse reports whether records may be in the standby partition, according to what was read
// in the primary. The journal may then be claimed only while the standby partition responds:
// otherwise no other writer could take it over.
func (j *Journal) standbyInUse(ctx context.Context, before reading) (inUse bool, err error) {
	m, err := decodeRecord[standbyMark](before.records, keyStandby)
	if err != nil || !m.InUse {
		return false, err
	}
	_, err = j.Store.Newest(ctx, j.Standby, "")
	return true, err
}

// standbyClaim is the claim of a standby partition, and its content.
type standbyClaim struct {
	records []port.Record
	begun   bool
	fenced  bool
	err     error
}

// run fences the standby partition and reads it.
func (c *standbyClaim) run(ctx context.Context, j *Journal, own Claim) {
	c.begun = true
	if c.err = j.fence(ctx, &j.standby.partWriter, j.Standby, own); c.err != nil {
		return
	}
	c.fenced = true
	c.records, c.err = j.readAll(ctx, j.Standby)
}

// withStandby returns the records of the primary merged with those of the standby partition, if the
// latter is in use according to the fenced primary.
func (j *Journal) withStandby(ctx context.Context, own Claim, records []port.Record, c *standbyClaim) ([]port.Record, error) {
	m, err := decodeRecord[standbyMark](records, keyStandby)
	if err != nil {
		return nil, err
	}
	s := &j.standby
	if m.InUse && !c.begun {
		c.run(ctx, j, own)
	}
	s.mark, s.fenced, s.lastProbe = m, c.fenced, j.Clock.Now()
	if !m.InUse {
		return records, nil
	}
	if c.err != nil {
		return nil, c.err
	}
	return s.merge(records, c.records)
}

// merge returns the records of the primary merged with newer ones of the standby partition.
func (s *standbyWriter) merge(primary, standby []port.Record) ([]port.Record, error) {
	newest := newestOf(primary)
	for _, r := range standby {
		if r.Key == keyClaim {
			continue
		}
		s.keys[r.Key] = true
		var v standbyRecord
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
