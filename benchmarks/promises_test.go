// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/modules/oncekey"
	"github.com/yardbridge/yardbridge/standin"
)

// BenchmarkLeaving measures the time from a target's first sign of leaving to the last new request
// that any entry sends it.
func BenchmarkLeaving(b *testing.B) {
	for _, way := range []string{"plain", "lag=1s", "cut-off"} {
		b.Run(way, func(b *testing.B) {
			c := newCluster(b, 9, 12, 2*time.Second, 64)
			switch way {
			case "lag=1s":
				c.platform.Server.Platform.Lag = time.Second
			case "cut-off":
				c.platform.Server.Log.SetFaults(standin.LogFaults{CutOff: "e004"})
			}
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for n := range 72 {
				group.Add(1)
				go func() {
					defer group.Done()
					for ctx.Err() == nil {
						_, _ = get(c.client, c.url(n, "/s/svc/x?work=5ms"))
					}
				}()
			}
			var last []float64
			for range max(b.N, 2) {
				for range 3 {
					last = append(last, c.leave(b, c.busyWorker()))
				}
			}
			cancel()
			group.Wait()
			slices.Sort(last)
			b.ReportMetric(last[len(last)*99/100], "p99-s")
			b.ReportMetric(last[len(last)/2], "p50-s")
		})
	}
}

// busyWorker returns a worker in use, since the measurement is meaningless for another one.
func (c *cluster) busyWorker() string {
	for {
		for worker, t := range c.platform.Server.Targets {
			if time.Since(t.Stats().LastStart) < 20*time.Millisecond {
				return worker
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// leave makes a worker leave and return, and returns the seconds until its last new request.
func (c *cluster) leave(b *testing.B, worker string) float64 {
	b.Helper()
	set := func(condition fleet.Condition) {
		if err := c.platform.Server.Platform.SetCondition(worker, condition); err != nil {
			b.Fatal(err)
		}
	}
	target := c.platform.Server.Targets[worker]
	at := time.Now()
	set(fleet.Leaving)
	time.Sleep(3 * time.Second)
	last := target.Stats().LastStart
	set(fleet.Live)
	// The pause is random, so that the trials do not synchronize with the reads of the list.
	time.Sleep(time.Second + rand.N(time.Second))
	return max(last.Sub(at).Seconds(), 0)
}

// BenchmarkOnce measures keyed requests: the time that the claim adds at low load, and the number
// of keys per second that the log's 100 appends allow.
func BenchmarkOnce(b *testing.B) {
	c := newCluster(b, 9, 50, 5*time.Second, 10000)
	for b.Loop() {
		keyed := c.latency(b, true)
		plain := c.latency(b, false)
		b.ReportMetric(keyed-plain, "added-p50-ms")
		b.ReportMetric(c.keysPerSecond(b), "keys-per-s")
	}
	most := 0
	for _, t := range c.platform.Server.Targets {
		for _, n := range t.Stats().Runs {
			most = max(most, n)
		}
	}
	b.ReportMetric(float64(most), "dispatches-max")
	b.ReportMetric(float64(c.maxSlots()), "max-slots")
}

func (c *cluster) post(n int, key string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, c.url(n, "/s/once/x"), nil)
	if err != nil {
		return 0, err
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// latency returns the median latency in milliseconds of requests that are sent one at a time.
func (c *cluster) latency(b *testing.B, keyed bool) float64 {
	b.Helper()
	var all []float64
	for n := range 50 {
		key := ""
		if keyed {
			key = oncekey.New(time.Now().Add(10 * time.Minute))
		}
		at := time.Now()
		if status, err := c.post(n, key); err != nil || status != http.StatusOK {
			b.Fatalf("status %d, %v", status, err)
		}
		all = append(all, float64(time.Since(at).Microseconds())/1000)
		time.Sleep(20 * time.Millisecond)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (c *cluster) keysPerSecond(b *testing.B) float64 {
	b.Helper()
	const clients, span = 1800, 5 * time.Second
	var good atomic.Int64
	var group sync.WaitGroup
	startedAt := time.Now()
	for n := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(startedAt) < span {
				if status, err := c.post(n, oncekey.New(time.Now().Add(10*time.Minute))); err == nil && status == http.StatusOK {
					good.Add(1)
				}
			}
		}()
	}
	group.Wait()
	return float64(good.Load()) / time.Since(startedAt).Seconds()
}
