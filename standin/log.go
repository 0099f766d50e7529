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

// LogFaults are the failures of the log that a test can inject.
type LogFaults struct {
	Down          bool          `json:"down"`         // appends and reads fail
	LoseResponses int           `json:"lose_answers"` // number of appends that take effect and report an error
	Delay         time.Duration `json:"delay"`        // before each append takes effect
	CutOff        string        `json:"cut_off"`      // name of a client that cannot reach the log
}

// Log is an append-only log in memory; its zero value is empty and unlimited.
type Log struct {
	Clock            clock.Clock
	AppendsPerSecond int           // 0 for no limit
	Retention        time.Duration // how long records are retained, 0 for ever

	mu         sync.Mutex
	first      uint64
	records    []record.Stored
	appended   chan struct{} // closed at the next append; nil if nobody waits
	faults     LogFaults
	tokens     float64
	refilledAt time.Time
	appends    uint64
	bytes      uint64
}

// Port returns the log as the services use it.
func (l *Log) Port() platform.Log {
	return platform.Log{Append: l.Append, Read: l.Read}
}

// SetFaults sets the injected failures.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.notifyReaders()
}

// Faults returns the injected failures.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns how many appends took effect, and their size in bytes.
func (l *Log) Appends() (count, bytes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

func unavailable() error {
	return errkind.New(errkind.LogUnavailable, "the log service does not respond")
}

// Append appends data.
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
	if !l.takeToken() {
		return 0, errkind.New(errkind.Overloaded, "the log accepts %d appends per second", l.AppendsPerSecond)
	}
	offset := l.first + uint64(len(l.records))
	l.records = append(l.records, record.Stored{Offset: offset, At: l.Clock.Now(), Data: data})
	l.appends++
	l.bytes += uint64(len(data))
	l.trim()
	l.notifyReaders()
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return 0, errkind.New(errkind.OutcomeUnknown, "the response to the append was lost")
	}
	return offset, nil
}

// takeToken implements a token bucket whose burst is a fifth of a second's appends.
func (l *Log) takeToken() bool {
	if l.AppendsPerSecond == 0 {
		return true
	}
	now := l.Clock.Now()
	rate := float64(l.AppendsPerSecond)
	burst := max(rate/5, 1)
	if l.refilledAt.IsZero() {
		l.tokens = burst
	} else {
		l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*rate, burst)
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// trim drops the records that are older than the retention.
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

func (l *Log) notifyReaders() {
	if l.appended != nil {
		close(l.appended)
		l.appended = nil
	}
}

// Read returns the records from an offset on, and waits for some if there are none.
func (l *Log) Read(ctx context.Context, from uint64, wait time.Duration) (platform.Page, error) {
	timeout := l.Clock.After(wait)
	for {
		page, appended, err := l.page(from)
		if err != nil || len(page.Records) > 0 || page.First > from {
			return page, err
		}
		select {
		case <-appended:
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
		remaining := l.records[from-l.first:]
		page.Records = remaining[:min(len(remaining), pageRecords)]
	}
	if l.appended == nil {
		l.appended = make(chan struct{})
	}
	return page, l.appended, nil
}
