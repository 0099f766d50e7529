// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/rollout"
)

// rollouts is a series of rollouts and the time that the log alone would have taken.
type rollouts struct {
	c     *cluster
	mu    sync.Mutex
	took  []float64 // milliseconds
	limit []float64 // milliseconds
}

// BenchmarkRollout measures the time from the operator's request until the change is in force on
// every entry, compared with one append and one delivery of the stand-in's log: one change after
// another, and twenty at once through all entries during a surge of requests that uses every slot.
func BenchmarkRollout(b *testing.B) {
	for _, entries := range []int{9, 60} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			r := &rollouts{c: newCluster(b, entries, 12, 2*time.Second, 64)}
			watch := r.c.watchVersions()
			for n := range max(b.N, 40) {
				r.change(b, 0, fmt.Sprintf("roll-%d", n))
				r.limit = append(r.limit, r.c.logLimit(b))
				time.Sleep(100 * time.Millisecond)
			}
			r.report(b, watch)
		})
	}
	b.Run("entries=9/rush", func(b *testing.B) {
		r := &rollouts{c: newCluster(b, 9, 12, 2*time.Second, 64)}
		watch := r.c.watchVersions()
		o := openLoop{c: r.c, path: "/s/svc/x?work=100ms", interval: perSecond(12*8, loadWork, 1)}
		surge := make(chan struct{})
		go func() {
			defer close(surge)
			o.run(loadTime)
		}()
		for round := range 10 {
			r.applyConcurrently(b, round)
			r.limit = append(r.limit, r.c.logLimit(b))
			time.Sleep(200 * time.Millisecond)
		}
		<-surge
		r.report(b, watch)
	})
}

// applyConcurrently applies twenty files of as many operators at once.
func (r *rollouts) applyConcurrently(b *testing.B, round int) {
	var group sync.WaitGroup
	for n := range 20 {
		group.Add(1)
		go func() {
			defer group.Done()
			r.change(b, n, fmt.Sprintf("rush-%d-%d", round, n))
		}()
	}
	group.Wait()
}

// change applies a file of its own through an entry and records the time.
func (r *rollouts) change(b *testing.B, entry int, name string) {
	file := manifest.File{Deployment: name, Teams: []manifest.Team{{Name: name}}}
	d := r.c.daemons[entry%len(r.c.daemons)]
	startedAt := time.Now()
	result, err := d.Entry.Rollout.Apply(context.Background(), rollout.Request{File: file, AllowShortage: true})
	took := float64(time.Since(startedAt).Microseconds()) / 1000
	if err != nil || !result.InForce {
		b.Errorf("%s: %v, lagging: %v", name, err, result.Lagging)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = append(r.took, took)
}

func (r *rollouts) report(b *testing.B, watch *versionMonitor) {
	slices.Sort(r.took)
	slices.Sort(r.limit)
	p := func(of []float64, q int) float64 { return of[(len(of)-1)*q/100] }
	b.ReportMetric(p(r.took, 50), "p50-ms")
	b.ReportMetric(p(r.took, 99), "p99-ms")
	b.ReportMetric(p(r.took, 50)/p(r.limit, 50), "x-limit-p50")
	b.ReportMetric(p(r.took, 99)/p(r.limit, 99), "x-limit-p99")
	b.ReportMetric(float64(watch.stop()), "reverts")
}

// versionMonitor continuously reads the version that each entry shows.
type versionMonitor struct {
	c       *cluster
	quit    chan struct{}
	reverts chan int
}

func (c *cluster) watchVersions() *versionMonitor {
	w := &versionMonitor{c: c, quit: make(chan struct{}), reverts: make(chan int)}
	go w.run()
	return w
}

// run counts how often an entry shows an older version than before.
func (w *versionMonitor) run() {
	seen := make([]uint64, len(w.c.daemons))
	reverts := 0
	for {
		for i, d := range w.c.daemons {
			version := d.Entry.Ledger.State().Catalog.Version
			if version < seen[i] {
				reverts++
			}
			seen[i] = version
		}
		select {
		case <-w.quit:
			w.reverts <- reverts
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func (w *versionMonitor) stop() int {
	close(w.quit)
	return <-w.reverts
}

// appendRetryPause is the pause after an append that the log refused because the entries have used
// up its rate limit.
const appendRetryPause = 50 * time.Millisecond

// logLimit returns the milliseconds of one append and its delivery to one waiting reader, over the
// same HTTP interface as the entries use.
func (c *cluster) logLimit(b *testing.B) float64 {
	b.Helper()
	client := c.platformClient()
	log := client.Log()
	ctx := context.Background()
	page, err := log.Read(ctx, c.daemons[0].Entry.Ledger.State().Offset, 0)
	if err != nil {
		b.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := log.Read(ctx, page.Next, 5*time.Second)
		read <- err
	}()
	time.Sleep(5 * time.Millisecond)
	data, err := record.Batch{Writer: "nobody"}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	at := time.Now()
	for {
		_, err := log.Append(ctx, data)
		if err == nil {
			break
		}
		if !errkind.Is(err, errkind.Overloaded) {
			b.Fatal(err)
		}
		time.Sleep(appendRetryPause)
		at = time.Now()
	}
	if err := <-read; err != nil {
		b.Fatal(err)
	}
	return float64(time.Since(at).Microseconds()) / 1000
}
