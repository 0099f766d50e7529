// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/services/follow"
	"github.com/yardbridge/yardbridge/services/port"
)

// operatorRecords are the records of the operators except the configuration, whose record contains
// the customers' keys. The zero value is empty. Its lock is taken before the locks of owners.
type operatorRecords struct {
	mu        sync.Mutex
	end       uint64                 // offset up to which they were read, here or by another node
	newest    map[string]port.Record // by key
	waves     []wave.Wave
	evacuated evacuation.List
}

// readUpTo returns the offset up to which the records were read.
func (o *operatorRecords) readUpTo() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.end
}

// list returns the newest records, and the offset up to which they were read.
func (o *operatorRecords) list() ([]port.Record, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.newest)), o.end
}

// waveList returns the waves that the operators have requested.
func (o *operatorRecords) waveList() []wave.Wave {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.waves)
}

// evacuations returns the data centres under evacuation.
func (o *operatorRecords) evacuations() evacuation.List {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.evacuated
}

// setWave adds or replaces a wave. The lock is held.
func (o *operatorRecords) setWave(w wave.Wave) {
	at := slices.IndexFunc(o.waves, func(v wave.Wave) bool { return v.Number == w.Number })
	if at >= 0 {
		o.waves[at] = w
		return
	}
	o.waves = append(o.waves, w)
}

// followOperators follows the operators' records.
func (n *Node) followOperators(ctx context.Context) {
	f := follow.Follower{
		Store: n.Ports.Store, Partition: n.Ports.Feeds.Operators, Clock: n.Clock, Logger: n.Logger,
		Wait: operatorsWait, MaxWait: n.Setting.MaxReadWait(), Apply: n.applyOperators,
	}
	f.Run(ctx)
}

// applyOperators applies records of the operators that were read up to an offset. Evacuations apply
// before a configuration does, since a node that starts places tasks from its first configuration
// on.
func (n *Node) applyOperators(records []port.Record, end uint64, complete bool) {
	var configs []*config.Config
	others := make([]port.Record, 0, len(records))
	for _, r := range records {
		c, err := n.Ports.Feeds.DecodeConfig(r)
		switch {
		case err != nil:
			n.Logger.Error().Str("event", "config").Uint64("offset", r.Offset).Err(err).Msg("configuration can't be read and is skipped")
		case c != nil:
			configs = append(configs, c)
		default:
			others = append(others, r)
		}
	}
	n.keepOperatorRecords(others, end, complete)
	for _, c := range configs {
		n.configure(c)
	}
}

// keepOperatorRecords applies records other than configurations. Records before the offset up to
// which all were read, here or by another node, are outdated.
func (n *Node) keepOperatorRecords(records []port.Record, end uint64, complete bool) {
	o := &n.operators
	o.mu.Lock()
	defer o.mu.Unlock()
	if end < o.end || complete && end == o.end && o.newest != nil {
		return
	}
	if complete || o.newest == nil {
		o.newest = make(map[string]port.Record, len(records))
	}
	for _, r := range records {
		if !complete && r.Offset < o.end {
			continue
		}
		repeated := len(r.Value) > 0 && len(o.newest[r.Key].Value) > 0
		o.newest[r.Key] = r
		n.keepWave(r)
		n.logEvacuation(r, repeated)
	}
	o.end = end
	n.updateEvacuated()
}

// keepWave keeps the wave of a record, if it is one. The lock of the records is held.
func (n *Node) keepWave(r port.Record) {
	w, isWave, err := n.Ports.Feeds.DecodeWave(r)
	if err != nil {
		n.Logger.Error().Str("event", "wave").Uint64("offset", r.Offset).Err(err).Msg("wave can't be read and is skipped")
		return
	}
	if isWave {
		n.operators.setWave(w)
	}
}

// updateEvacuated derives the data centres under evacuation from the newest records, and passes a
// change to the owners of pools. The lock of the records is held.
func (n *Node) updateEvacuated() {
	o := &n.operators
	var list []string
	for _, r := range o.newest {
		dataCenter, err := n.Ports.Feeds.DecodeEvacuation(r)
		if err == nil && dataCenter != "" && len(r.Value) > 0 {
			list = append(list, dataCenter)
		}
	}
	slices.Sort(list)
	before := o.evacuated.DataCenters
	o.evacuated = evacuation.List{DataCenters: list, End: o.end}
	if slices.Equal(list, before) {
		return
	}
	n.Logger.Info().Str("event", "evacuation").Strs("data_centers", list).Strs("before", before).Uint64("end", o.end).
		Str("outcome", "in force").Msg("data centres under evacuation have changed")
	for _, p := range n.ownerList() {
		p.SetEvacuated(o.evacuated)
	}
}

// logEvacuation logs what the operators may have to correct in an evacuation: it can't be read, is
// in force already, or names a data centre of which nothing is known. The lock of the records is
// held.
func (n *Node) logEvacuation(r port.Record, repeated bool) {
	dataCenter, err := n.Ports.Feeds.DecodeEvacuation(r)
	if err != nil {
		n.Logger.Error().Str("event", "evacuation").Uint64("offset", r.Offset).Err(err).Msg("evacuation can't be read and is skipped")
		return
	}
	if dataCenter == "" || len(r.Value) == 0 {
		return
	}
	if repeated {
		n.Logger.Info().Str("event", "evacuation").Str("data_center", dataCenter).Uint64("offset", r.Offset).Str("outcome", "repeated").
			Msg("the data centre is under evacuation already")
	}
	if known := n.dataCenters(); len(known) > 0 && !slices.Contains(known, dataCenter) {
		n.Logger.Warn().Str("event", "evacuation").Str("data_center", dataCenter).Strs("known", known).Uint64("offset", r.Offset).
			Str("outcome", "unknown data centre").Msg("no node and no worker is known in the data centre; the evacuation applies to workers that come")
	}
}

// dataCenters returns the data centres of all known nodes and workers, in order.
func (n *Node) dataCenters() []string {
	known := make(map[string]bool)
	if v, _ := n.Directory.View(); v != nil {
		for _, o := range v.Nodes {
			known[o.DataCenter] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.workers {
		known[w.DataCenter] = true
	}
	delete(known, "")
	return slices.Sorted(maps.Keys(known))
}
