// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/services/port"
)

// lister reads the platform's list of instances again and again, beside the plans: the list of a large
// fleet has many pages, and a surge must not wait for them.
type lister struct {
	m *Manager

	mu   sync.Mutex
	list instanceList // the newest one
}

// instanceList is one reading of the list of instances; it is immutable.
type instanceList struct {
	instances map[string]port.Instance // nil for no reading
	names     []string                 // in order
	readAt    time.Time                // when the reading began: it shows everything that was done before
}

// Time constants of the reading of the list.
const (
	// listGap is the pause between two readings; a list of three pages is read four times a second.
	listGap = 180 * time.Millisecond
	// listTimeout bounds a reading, whose pages are spaced by the platform's rate.
	listTimeout = 3 * time.Second
	// maxListAge is the age from which on a list is not used for plans.
	maxListAge = 3 * time.Second
)

// run reads the list until the context ends. While the store does not respond there are no plans, and another node
// may hold the role, whose readings count against the same rate of the platform.
func (l *lister) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.m.Journal.IsStuck(maxListAge) {
			l.read(ctx)
		}
		select {
		case <-l.m.Clock.After(listGap):
		case <-ctx.Done():
		}
	}
}

// read reads the list once.
func (l *lister) read(ctx context.Context) {
	m, began := l.m, l.m.Clock.Now()
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.Instances.List(bounded)
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Str("event", "instances").Err(err).Msg("instance list can't be read")
		}
		return
	}
	instances := make(map[string]port.Instance, len(list))
	for _, i := range list {
		instances[i.Name] = i
	}
	names := slices.Sorted(maps.Keys(instances))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = instanceList{instances, names, began}
}

// newest returns the newest list, one without instances if that is too old for a plan.
func (l *lister) newest() instanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m.Clock.Now().Sub(l.list.readAt) > maxListAge {
		return instanceList{}
	}
	return l.list
}
