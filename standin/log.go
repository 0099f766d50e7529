// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/platform"
)

// pageRecords bounds how many records one read returns.
const pageRecords = 512

// LogFaults are the failures of the log that a test can switch on.
type LogFaults struct {
	Down          bool          `json:"down"`         // nothing is taken and nothing read
	LoseResponses int           `json:"lose_answers"` // appends that take effect and report an error
	Delay         time.Duration `json:"delay"`        // before each append takes effect
	CutOff        string        `json:"cut_off"`      // name of a client that can't reach the log
}

// Log is an append-only log in memory; its zero value is empty and unlimited.
type Log struct {
	Clock            clock.Clock
	AppendsPerSecond int           // appends a second, 0 for no limit
	Retention        time.Duration // how long records are kept, 0 for ever

	mu      sync.Mutex
	first   uint64
	records []record.Stored
	grown   chan struct{} // closed at each append; nil until somebody waits
	faults  LogFaults
	credit  float64
	credAt  time.Time
	appends uint64
	bytes   uint64
}

// Port returns the log as the core sees it.
func (l *Log) Port() platform.Log {
	return platform.Log{Append: l.Append, Read: l.Read}
}

// SetFaults switches failures on and off.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wake()
}

// Faults returns the failures that are switched on.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns how many appends took effect, and their bytes.
func (l *Log) Appends() (count, bytes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

func unavailable() error {
	return errkind.New(errkind.LogUnavailable, "the log service does not answer")
}

// Append adds data at the end.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	if d := l.Faults().Delay; d > 0 {
		select {
		case <-l.Clock.After(d):
		case <-ctx.Done():
			return 0, unavailable()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, unavailable()
	}
	if !l.takeCredit() {
		return 0, errkind.New(errkind.Overloaded, "the log takes %d appends a second", l.AppendsPerSecond)
	}
	offset := l.first + uint64(len(l.records))
	l.records = append(l.records, record.Stored{Offset: offset, At: l.Clock.Now(), Data: data})
	l.appends++
	l.bytes += uint64(len(data))
	l.trim()
	l.wake()
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return 0, errkind.New(errkind.OutcomeUnknown, "the answer of the append was lost")
	}
	return offset, nil
}

// takeCredit is a token bucket with a fifth of a second of burst.
func (l *Log) takeCredit() bool {
	if l.AppendsPerSecond == 0 {
		return true
	}
	now := l.Clock.Now()
	rate := float64(l.AppendsPerSecond)
	burst := max(rate/5, 1)
	if l.credAt.IsZero() {
		l.credit = burst
	} else {
		l.credit = min(l.credit+now.Sub(l.credAt).Seconds()*rate, burst)
	}
	l.credAt = now
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// trim drops what is older than the retention.
func (l *Log) trim() {
	if l.Retention == 0 {
		return
	}
	oldest := l.Clock.Now().Add(-l.Retention)
	n := 0
	for n < len(l.records) && l.records[n].At.Before(oldest) {
		n++
	}
	l.first += uint64(n)
	l.records = l.records[n:]
}

func (l *Log) wake() {
	if l.grown != nil {
		close(l.grown)
		l.grown = nil
	}
}

// Read returns the records at an offset and after it.
func (l *Log) Read(ctx context.Context, from uint64, wait time.Duration) (platform.Page, error) {
	timeout := l.Clock.After(wait)
	for {
		page, grown, err := l.page(from)
		if err != nil || len(page.Records) > 0 || page.First > from {
			return page, err
		}
		select {
		case <-grown:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, unavailable()
		}
	}
}

func (l *Log) page(from uint64) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return platform.Page{}, nil, unavailable()
	}
	l.trim()
	page := platform.Page{First: l.first, Next: l.first + uint64(len(l.records))}
	if from >= l.first && from < page.Next {
		rest := l.records[from-l.first:]
		page.Records = rest[:min(len(rest), pageRecords)]
	}
	if l.grown == nil {
		l.grown = make(chan struct{})
	}
	return page, l.grown, nil
}
