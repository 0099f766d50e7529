// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

const (
	// readingPause is the time between two readings that a process publishes, and readingSpacing is the time for each
	// node within which owners publish theirs: all of them have reason to when a node has registered.
	readingPause   = 500 * time.Millisecond
	readingSpacing = 5 * time.Millisecond
)

// publishReading publishes which nodes this process knows, so that these may replace it as an owner although they
// have lost their acknowledgements, see mayReplace. While it owns no pool, nobody counts on that.
func (s *Manager) publishReading(ctx context.Context, v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read, relies := s.publishedRead(v)
	if !relies && len(s.claiming) == 0 {
		s.Directory.Release() // under the lock, as no claim may begin meanwhile
	}
	if !relies || s.publishing {
		return
	}
	r, due := s.Directory.DueReading(read)
	now := s.Clock.Now()
	if due && s.readingDue.IsZero() {
		s.readingDue = now.Add(rand.N(time.Duration(len(v.Nodes)) * readingSpacing))
	}
	if !due || now.Before(s.readingDue) {
		return
	}
	s.publishing = true
	s.tasks.Add(1)
	go readingPublication{s, r}.run(ctx)
}

// publishedRead returns the offset up to which this process is known to have read the directory by each of its claims,
// or by its own reading there, and whether it owns a pool. The lock is held.
func (s *Manager) publishedRead(v *directory.View) (read uint64, relies bool) {
	read = math.MaxUint64
	for _, t := range s.owned {
		if t.Confirmed != nil && t.Terms != nil {
			read, relies = min(read, t.Terms.Read), true
		}
	}
	if own := v.Readings[s.Directory.Self.Name]; own.Incarnation == s.Directory.Self.Incarnation {
		read = max(read, own.Read)
	}
	return read, relies
}

// readingPublication publishes a reading once.
type readingPublication struct {
	s       *Manager
	reading directory.Reading
}

// run publishes the reading.
func (p readingPublication) run(ctx context.Context) {
	defer p.s.tasks.Done()
	bounded, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	err := p.s.Directory.PublishReading(bounded, p.reading)
	p.s.Logger.Info().Str("event", "reading").Uint64("from", p.reading.From).Uint64("read", p.reading.Read).AnErr("err", err).
		Msg("which nodes this process knows has been published")
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.publishing, p.s.readingDue = false, time.Time{}
	if err == nil {
		p.s.readingDue = p.s.Clock.Now().Add(readingPause)
	}
}
