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

// sampleSize is the number of values that a histogram retains: the rank of a quantile is off by at
// most 5%, at 4 KiB for each histogram.
const sampleSize = 512

// Meter counts calls and keeps a histogram of their durations. A nil meter counts nothing; New
// returns one that counts.
type Meter struct {
	registry gometrics.Registry
}

// New returns an empty meter.
func New() *Meter { return &Meter{registry: gometrics.NewRegistry()} }

// Count adds one to a counter.
func (m *Meter) Count(name string) { m.Add(name, 1) }

// Add adds an amount to a counter.
func (m *Meter) Add(name string, amount int64) {
	if m == nil {
		return
	}
	counter, is := m.registry.GetOrRegister(name, gometrics.NewCounter).(gometrics.Counter)
	if is {
		counter.Inc(amount)
	}
}

// Observe adds the duration of one call to its histogram, in microseconds, and counts the call
// under its outcome.
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

// ObserveCall is Observe for a call that ended with an error or nil.
func (m *Meter) ObserveCall(call string, took time.Duration, err error) {
	m.Observe(call, took, outcome(err))
}

// Channels returns two functions for the channels to a destination: found counts channels found
// unresponsive, with the time until each was found, and repeated counts calls that were due to be
// repeated.
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

// Gauge registers a value that is computed when it is read.
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

// Write writes all metrics as text.
func (m *Meter) Write(w io.Writer) { gometrics.WriteOnce(m.registry, w) }

// ServeHTTP responds with all metrics as text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.Write(w)
}

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
}

// outcome returns the name of a call's outcome.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return errkind.Of(err).Kind.String()
}
