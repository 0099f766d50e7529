// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// The directory states for each queue to which pools it has been assigned. A pool accepts no job of a queue
// before its assignment is written, so the jobs of a queue are in these pools and in no others. An assignment
// is conditional on no record having been added since the directory was read: of two pools, the one that is
// assigned later sees the other one.

func isQueueRecord(r port.Record) bool { return strings.HasPrefix(r.Key, keyQueue) }

// applyQueue applies the record of a queue to a view that is being built.
func (v *View) applyQueue(queue string, value []byte) error {
	if len(value) == 0 {
		return nil
	}
	var pools []string
	if err := codec.Unmarshal(value, &pools); err != nil {
		return err
	}
	if v.Queues == nil {
		v.Queues = make(map[string][]string)
	}
	v.Queues[queue] = union(v.Queues[queue], pools)
	return nil
}

// union returns the names of two lists, each once.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, name := range b {
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all
}

// mergeQueues returns the assignments of two views.
func mergeQueues(a, b map[string][]string) map[string][]string {
	merged := maps.Clone(a)
	for queue, pools := range b {
		if merged == nil {
			merged = make(map[string][]string)
		}
		merged[queue] = union(merged[queue], pools)
	}
	return merged
}

// queueRecords returns the records that assign queues to pools, as far as they are not assigned yet.
func (v *View) queueRecords(queues map[string]string) ([]port.Record, error) {
	var records []port.Record
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		if slices.Contains(v.Queues[queue], queues[queue]) {
			continue
		}
		value, err := codec.Marshal(union(v.Queues[queue], []string{queues[queue]}))
		if err != nil {
			return nil, err
		}
		records = append(records, port.Record{Key: keyQueue + queue, Value: value})
	}
	return records, nil
}

// AssignQueues assigns queues to a pool and returns a view that contains the assignments and all earlier ones.
func (d *Directory) AssignQueues(ctx context.Context, pool string, queues []string) (*View, error) {
	wanted := make(map[string]string, len(queues))
	for _, queue := range queues {
		wanted[queue] = pool
	}
	for {
		v, changed := d.View()
		if v == nil {
			return nil, errkind.New(errkind.LogUnavailable, "the directory has not been read yet")
		}
		records, err := v.queueRecords(wanted)
		if err != nil || len(records) == 0 {
			return v, err
		}
		if _, err := d.Store.AppendAt(ctx, Partition, v.End, records); err != nil && !errkind.Is(err, errkind.Conflict) {
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errkind.New(errkind.LogUnavailable, "the directory does not show an assignment of queues to pool %s", pool)
		}
	}
}
