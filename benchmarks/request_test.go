// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// forwarder is the baseline: it forwards requests without any guarantees.
type forwarder struct {
	transport http.Transport
	targets   []string
	next      atomic.Uint64
}

// ServeHTTP forwards a request to the next target.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := f.targets[f.next.Add(1)%uint64(len(f.targets))]
	out := r.Clone(r.Context())
	out.URL = &url.URL{Scheme: "http", Host: target, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out.RequestURI = ""
	response, err := f.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for k, v := range response.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func serveForwarder(b *testing.B, targets []string) string {
	b.Helper()
	f := &forwarder{targets: targets}
	f.transport.MaxIdleConnsPerHost = 64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: f}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return "http://" + l.Addr().String()
}

// closedLoop sends requests with several clients, each after the previous response, and returns the
// latencies in microseconds and the responses per second.
func closedLoop(b *testing.B, client *http.Client, clients, requests int, target func(n int) string) (*hdrhistogram.Histogram, float64) {
	b.Helper()
	var next, failed atomic.Int64
	var group sync.WaitGroup
	var mu sync.Mutex
	all := hdrhistogram.New(1, 60_000_000, 3)
	startedAt := time.Now()
	for range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			own := hdrhistogram.New(1, 60_000_000, 3)
			for {
				n := next.Add(1)
				if n > int64(requests) {
					break
				}
				at := time.Now()
				status, err := get(client, target(int(n)))
				if err != nil || status != http.StatusOK {
					failed.Add(1)
				}
				_ = own.RecordValue(max(time.Since(at).Microseconds(), 1))
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		}()
	}
	group.Wait()
	if n := failed.Load(); n > int64(requests)/100 {
		b.Fatalf("%d of %d requests failed", n, requests)
	}
	return all, float64(requests) / time.Since(startedAt).Seconds()
}

// BenchmarkRequest compares a request through an entry with a direct one, and with the forwarder,
// in turn in the same run.
func BenchmarkRequest(b *testing.B) {
	const clients, targets, requests, rounds = 32, 10, 8000, 5
	c := newCluster(b, 1, targets, 5*time.Second, 10000)
	var addresses []string
	for _, i := range c.daemons[0].Entry.Ledger.State().PoolInstances("pool") {
		addresses = append(addresses, i.Worker.Address)
	}
	bare := serveForwarder(b, addresses)
	ways := []func(n int) string{
		func(n int) string { return "http://" + addresses[n%len(addresses)] + "/x?size=1000" },
		func(int) string { return bare + "/x?size=1000" },
		func(int) string { return c.url(0, "/s/svc/x?size=1000") },
	}
	latency := make([]*hdrhistogram.Histogram, len(ways))
	rate := make([]float64, len(ways))
	for i := range ways {
		latency[i] = hdrhistogram.New(1, 60_000_000, 3)
	}
	for b.Loop() {
		for range rounds {
			for i, way := range ways {
				h, perSecond := closedLoop(b, c.client, clients, requests, way)
				latency[i].Merge(h)
				rate[i] += perSecond / rounds
			}
		}
	}
	n := float64(b.N)
	added := func(q float64) float64 {
		return float64(latency[2].ValueAtQuantile(q) - latency[0].ValueAtQuantile(q))
	}
	b.ReportMetric(added(50), "added-p50-us")
	b.ReportMetric(added(99), "added-p99-us")
	b.ReportMetric(rate[2]/rate[1], "x-baseline")
	b.ReportMetric(rate[2]/n, "requests/s")
	b.ReportMetric(float64(c.maxSlots()), "max-slots")
}
