// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yardbridge/yardbridge/standin"
)

// openLoop is load that does not wait for responses.
type openLoop struct {
	c        *cluster
	path     string
	interval time.Duration // between two requests
	batch    int           // every n-th request is of the batch class, 0 for none

	sent, good, refused, other atomic.Int64
	goodInWindow               atomic.Int64 // successful responses in the window without ramp and tail
	startedAt                  time.Time
	mu                         sync.Mutex
	interactive                *hdrhistogram.Histogram // microseconds
}

// run sends requests for a time and waits for the responses.
func (o *openLoop) run(d time.Duration) {
	o.interactive = hdrhistogram.New(1, 60_000_000, 3)
	var group sync.WaitGroup
	startedAt := time.Now()
	o.startedAt = startedAt
	for n := 0; ; n++ {
		due := startedAt.Add(time.Duration(n) * o.interval)
		if due.Sub(startedAt) >= d {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		group.Add(1)
		go func() {
			defer group.Done()
			o.sendOne(n)
		}()
	}
	group.Wait()
}

func (o *openLoop) sendOne(n int) {
	r, err := http.NewRequest(http.MethodGet, o.c.url(n, o.path), nil)
	if err != nil {
		return
	}
	isBatch := o.batch > 0 && n%o.batch == 0
	if isBatch {
		r.Header.Set("Yardbridge-Class", "batch")
	}
	o.sent.Add(1)
	at := time.Now()
	response, err := o.c.client.Do(r)
	if err != nil {
		o.other.Add(1)
		return
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusOK:
		o.good.Add(1)
		if since := time.Since(o.startedAt); since > loadRamp && since <= loadTime {
			o.goodInWindow.Add(1)
		}
		if !isBatch {
			o.mu.Lock()
			_ = o.interactive.RecordValue(max(time.Since(at).Microseconds(), 1))
			o.mu.Unlock()
		}
	case response.Header.Get("Yardbridge-Outcome") == "not-run":
		o.refused.Add(1)
	default:
		o.other.Add(1)
	}
}

const (
	loadWorkers = 10
	loadWork    = 100 * time.Millisecond
	loadSlots   = loadWorkers * 8
	loadTime    = 4 * time.Second
	loadRamp    = time.Second
)

// BenchmarkOverload offers a pool from half to four times the load that its slots can serve, a
// tenth of it of the batch class. goodput-share is the ratio of the responses in time to the
// capacity of the slots, from one second after the start of the load to its end.
func BenchmarkOverload(b *testing.B) {
	for _, entries := range []int{1, 9} {
		for _, load := range []float64{0.5, 1, 2, 4} {
			b.Run(fmt.Sprintf("entries=%d/load=%gx", entries, load), func(b *testing.B) {
				c := newCluster(b, entries, loadWorkers, time.Second, 64)
				warm := openLoop{c: c, path: "/s/svc/x?work=100ms", interval: perSecond(loadSlots, loadWork, 0.5)}
				warm.run(time.Second)
				b.ResetTimer()
				share, p99, refused := 0.0, 0.0, 0.0
				for range b.N {
					o := openLoop{c: c, path: "/s/svc/x?work=100ms", interval: perSecond(loadSlots, loadWork, load), batch: 10}
					o.run(loadTime)
					capacity := (loadTime - loadRamp).Seconds() / loadWork.Seconds() * loadSlots
					share += float64(o.goodInWindow.Load()) / capacity
					refused += float64(o.refused.Load()) / float64(o.sent.Load())
					p99 += float64(o.interactive.ValueAtQuantile(99)) / 1000
				}
				n := float64(b.N)
				b.ReportMetric(share/n, "goodput-share")
				b.ReportMetric(refused/n, "refused-share")
				b.ReportMetric(p99/n, "interactive-p99-ms")
				b.ReportMetric(float64(c.maxSlots()), "max-slots")
			})
		}
	}
}

// perSecond returns the interval of requests for a multiple of the capacity of the slots.
func perSecond(slots int, work time.Duration, load float64) time.Duration {
	return time.Duration(float64(work) / float64(slots) / load)
}

// BenchmarkRetryStorm makes a third of the targets fail for a time, at 0.3 times the load that all
// could serve.
func BenchmarkRetryStorm(b *testing.B) {
	c := newCluster(b, 3, 9, time.Second, 64)
	sends, recovered := 0.0, 0.0
	for range b.N {
		failing := failSome(c, 3)
		before := c.counts()
		o := openLoop{c: c, path: "/s/svc/x?work=20ms", interval: perSecond(72, 20*time.Millisecond, 0.3)}
		o.run(3 * time.Second)
		after := c.counts()
		sends += float64(after.sends-before.sends) / float64(after.requests-before.requests)
		for _, t := range failing {
			t.SetFaults(standin.TargetFaults{})
		}
		recovered += c.recovery()
	}
	n := float64(b.N)
	b.ReportMetric(sends/n, "sends-per-request")
	b.ReportMetric(recovered/n, "recover-s")
}

func failSome(c *cluster, n int) []*standin.Target {
	var failing []*standin.Target
	for i := range n {
		t := c.platform.Server.Targets[fmt.Sprintf("w%04d", i*3)]
		t.SetFaults(standin.TargetFaults{Fail: true})
		failing = append(failing, t)
	}
	return failing
}

// requestCounts sums the counters of the entries.
type requestCounts struct{ requests, sends int64 }

func (c *cluster) counts() requestCounts {
	var sum requestCounts
	for _, d := range c.daemons {
		sum.requests += d.Entry.Metrics.Requests.Count()
		sum.sends += d.Entry.Metrics.Sends.Count()
	}
	return sum
}

// recovery returns the seconds until every response within a tenth of a second is successful again
// and no target is ejected.
func (c *cluster) recovery() float64 {
	startedAt := time.Now()
	for {
		o := openLoop{c: c, path: "/s/svc/x?work=20ms", interval: perSecond(72, 20*time.Millisecond, 0.5)}
		o.run(100 * time.Millisecond)
		ejected := 0
		for _, d := range c.daemons {
			ejected += len(d.Entry.Outliers.Ejected())
		}
		if o.good.Load() == o.sent.Load() && ejected == 0 || time.Since(startedAt) > time.Minute {
			return time.Since(startedAt).Seconds()
		}
	}
}
