// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package measure

import (
	"io"
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// sampleSize is how many of a histogram's values are kept: 5% of a quantile's
// rank at most is lost, at 4 KiB a histogram.
const sampleSize = 512

// Meter counts calls and keeps a histogram of how long they took. A nil meter
// counts nothing; New makes one that does.
type Meter struct {
	registry gometrics.Registry
}

// New returns a meter that has counted nothing.
func New() *Meter { return &Meter{registry: gometrics.NewRegistry()} }

// Count adds one to a counter.
func (m *Meter) Count(name string) {
	if m == nil {
		return
	}
	counter, is := m.registry.GetOrRegister(name, gometrics.NewCounter).(gometrics.Counter)
	if is {
		counter.Inc(1)
	}
}

// Observe adds the span of one call to its histogram, which is in microseconds, and
// counts it under its outcome.
func (m *Meter) Observe(call string, took time.Duration, outcome string) {
	if m == nil {
		return
	}
	histogram, is := m.registry.GetOrRegister(call+".us", newHistogram).(gometrics.Histogram)
	if is {
		histogram.Update(took.Microseconds())
	}
	m.Count(call + "." + outcome)
}

// ObserveCall is Time for a call that ended with an error or nil.
func (m *Meter) ObserveCall(call string, took time.Duration, err error) {
	m.Observe(call, took, outcome(err))
}

// Channels returns what counts channels to a destination that were found silent, with
// the time until each was, and what counts the calls to it that were to be made again.
func (m *Meter) Channels(to string) (found func(n int, after time.Duration), repeated func(allowed bool)) {
	found = func(n int, after time.Duration) {
		for range n {
			m.Observe("channel."+to, after, "silent")
		}
	}
	repeated = func(allowed bool) {
		if allowed {
			m.Count("channel." + to + ".repeated")
			return
		}
		m.Count("channel." + to + ".repeat-refused")
	}
	return found, repeated
}

// Gauge registers a value that is asked for when it is read.
func (m *Meter) Gauge(name string, read func() int64) {
	if m == nil {
		return
	}
	m.registry.GetOrRegister(name, gometrics.NewFunctionalGauge(read))
}

// CounterValue returns the value of a counter.
func (m *Meter) CounterValue(name string) int64 {
	counter, is := m.registry.Get(name).(gometrics.Counter)
	if !is {
		return 0
	}
	return counter.Count()
}

// Write writes all figures as text.
func (m *Meter) Write(w io.Writer) { gometrics.WriteOnce(m.registry, w) }

// ServeHTTP answers with all figures as text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.Write(w)
}

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
}

// outcome names how a call ended.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return errkind.Of(err).Kind.String()
}
