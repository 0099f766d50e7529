// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/adapters/platformhttp"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/services/platform"
)

// usage is the resource use of all entries of this process up to a moment.
type usage struct {
	at    time.Time
	cpu   time.Duration
	peer  int64 // bytes
	other int64 // bytes, to and from the platform
}

func (c *cluster) usage(b *testing.B) usage {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	u := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, d := range c.daemons {
		m := d.Entry.Metrics
		u.peer += m.PeerIn.Count() + m.PeerOut.Count()
		u.other += m.PlatformIn.Count() + m.PlatformOut.Count()
	}
	return u
}

// report reports the resource use of one node between two moments; the processor time is that of
// the whole process, including the stand-in.
func (c *cluster) report(b *testing.B, from, to usage) {
	b.Helper()
	nodes := float64(len(c.daemons))
	seconds := to.at.Sub(from.at).Seconds()
	b.ReportMetric((to.cpu-from.cpu).Seconds()/seconds/nodes*100, "core-pct")
	b.ReportMetric(float64(to.peer-from.peer)/seconds/nodes, "peer-B/s")
	b.ReportMetric(float64(to.other-from.other)/seconds/nodes, "platform-B/s")
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/nodes/(1<<20), "heap-MB")
}

// settleTime is how long a cluster runs before the measurement; the first snapshot falls into that
// time.
const settleTime = 8 * time.Second

const measureTime = 8 * time.Second

// BenchmarkControl measures the cost of control on a node, at rest and while the configuration
// changes twice a second.
func BenchmarkControl(b *testing.B) {
	for _, entries := range []int{9, 30, 60, 120} {
		c := (*cluster)(nil)
		b.Run(fmt.Sprintf("entries=%d/rest", entries), func(b *testing.B) {
			c = newCluster(b, entries, 12, time.Second, 64)
			time.Sleep(settleTime)
			from := c.usage(b)
			time.Sleep(measureTime)
			c.report(b, from, c.usage(b))
		})
		b.Run(fmt.Sprintf("entries=%d/changes", entries), func(b *testing.B) {
			c = newCluster(b, entries, 12, time.Second, 64)
			time.Sleep(settleTime)
			from := c.usage(b)
			for n := 0; time.Since(from.at) < measureTime; n++ {
				c.apply(b, manifest.File{Deployment: "c", Teams: []manifest.Team{{Name: "c", QuotaCores: n + 1}}})
				time.Sleep(500 * time.Millisecond)
			}
			c.report(b, from, c.usage(b))
		})
	}
}

// BenchmarkControlWorkers measures how the cost of control on a node grows with the fleet.
func BenchmarkControlWorkers(b *testing.B) {
	for _, workers := range []int{12, 200, 500, 1000} {
		b.Run(fmt.Sprintf("entries=9/workers=%d", workers), func(b *testing.B) {
			c := newCluster(b, 9, workers, time.Second, 64)
			time.Sleep(settleTime)
			from := c.usage(b)
			time.Sleep(measureTime)
			c.report(b, from, c.usage(b))
		})
	}
}

// BenchmarkMembership measures the heartbeats alone: bytes and processor time for each node, the
// time until all entries detect the loss of one, and false alarms.
func BenchmarkMembership(b *testing.B) {
	for _, entries := range []int{9, 30, 60, 120, 200} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c := newCluster(b, entries, 4, time.Second, 64)
			time.Sleep(settleTime)
			from := c.usage(b)
			alarms := 0
			for time.Since(from.at) < measureTime {
				alarms += c.suspected("")
				time.Sleep(500 * time.Millisecond)
			}
			c.report(b, from, c.usage(b))
			lost := c.daemons[len(c.daemons)-1]
			lost.Kill()
			c.daemons = c.daemons[:len(c.daemons)-1]
			at := time.Now()
			for c.suspected(lost.Entry.Settings.Entry.Name) < len(c.daemons) && time.Since(at) < time.Minute {
				time.Sleep(50 * time.Millisecond)
			}
			b.ReportMetric(time.Since(at).Seconds(), "detect-s")
			b.ReportMetric(float64(alarms), "false-alarms")
		})
	}
}

// suspected returns the sum over all entries of the members that each considers dead: of all members,
// or only the named one unless the name is empty.
func (c *cluster) suspected(name string) int {
	n := 0
	for _, d := range c.daemons {
		for _, m := range d.Entry.Members.Dump() {
			if !m.Alive && (name == "" || m.Entry == name) {
				n++
			}
		}
	}
	return n
}

// BenchmarkReports measures the bytes of one full read of the workers' reports by the holder of the
// jobs role.
func BenchmarkReports(b *testing.B) {
	for _, tasks := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := newCluster(b, 1, 12, time.Second, 64)
			port := c.platform.Server.Platform.Tasks()
			for n := range tasks {
				err := port.Start(b.Context(), platform.Task{
					ID: fmt.Sprintf("%d.run-%08d#1", start.Unix(), n), Worker: fmt.Sprintf("w%04d", n%12), Command: "forever", LeaseTTL: time.Hour,
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			m := metrics.New()
			client := platformhttp.New("http://"+c.platform.Address, "benchmark", m)
			before := m.PlatformIn.Count()
			if _, err := client.Tasks().Reports(b.Context(), 0); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(m.PlatformIn.Count()-before), "platform-B")
		})
	}
}
