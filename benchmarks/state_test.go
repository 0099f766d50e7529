// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// stateBuilder is a state that grows by records, without a log.
type stateBuilder struct {
	s   state.State
	now time.Time
	seq uint64
}

var start = time.Date(2026, 3, 2, 4, 0, 0, 0, time.UTC)

const writer = "e000"

// fold folds one batch of records.
func (y *stateBuilder) fold(records ...record.Record) state.Folded {
	y.seq++
	data, err := record.Batch{Schema: record.Schema, Writer: writer, Incarnation: 1, Sequence: y.seq, Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	f := y.s.Fold(record.Stored{Offset: y.s.Offset, At: y.now, Data: data})
	y.s = f.State
	return f
}

// size is a size of the system.
type size struct {
	workers, pools, teams, runs, keys int
}

func (z size) String() string {
	return fmt.Sprintf("workers=%d/pools=%d", z.workers, z.pools)
}

var (
	currentSize = size{workers: 50, pools: 5, teams: 2, runs: 20, keys: 1000}
	designSize  = size{workers: 3000, pools: 124, teams: 85, runs: 6000, keys: 20000}
)

// newState returns a state of a size whose workers are not in pools yet. Each pool declares its
// part of nine tenths of the workers.
func newState(z size) *stateBuilder {
	y := &stateBuilder{now: start}
	y.fold(record.Record{Join: &record.Join{Address: "127.0.0.1:1", DataCenter: "hall-0"}})
	workers := fleetOf(z.workers)
	for from := 0; from < len(workers); from += 500 {
		y.fold(record.Record{ListUpdate: &record.ListUpdate{Revision: y.s.ListRevision + 1, Workers: workers[from:min(from+500, len(workers))]}})
	}
	var objects []manifest.Object
	for n := range z.teams {
		objects = append(objects, manifest.Object{Team: &manifest.Team{
			Name: fmt.Sprintf("team-%d", n), QuotaCores: 16 * z.workers, QuotaMemoryGB: 32 * z.workers,
		}})
	}
	for n := range z.pools {
		objects = append(objects, manifest.Object{Pool: z.pool(n)})
	}
	f := y.fold(record.Record{Apply: &record.Apply{Deployment: "bench", Put: objects}})
	if f.Verdicts[0] != nil {
		panic(f.Verdicts[0])
	}
	return y
}

func (z size) pool(n int) *manifest.Pool {
	share := z.workers * 9 / 10 / z.pools
	return &manifest.Pool{
		Name: fmt.Sprintf("pool-%03d", n), Team: fmt.Sprintf("team-%d", n%z.teams),
		Size: share, MinAvailable: share - 2, FailureDomain: manifest.DomainRack,
	}
}

// submit adds pending runs, spread over teams and pools.
func (y *stateBuilder) submit(z size, runs int, class manifest.Class) {
	for from := 0; from < runs; from += 400 {
		var records []record.Record
		for n := from; n < min(from+400, runs); n++ {
			records = append(records, record.Record{Submit: &record.Submit{
				ID: fmt.Sprintf("%d.%s-%08d", y.now.Add(time.Hour).Unix(), class, n),
				Job: manifest.Job{
					Name: fmt.Sprintf("job-%d", n%200), Team: fmt.Sprintf("team-%d", n%z.teams), Pool: fmt.Sprintf("pool-%03d", n%z.pools),
					Class: class, Cores: 1 + n%4, MemoryGB: 1 + n%4, Repeatable: true,
				},
			}})
		}
		y.fold(records...)
	}
}

func (y *stateBuilder) claim(from, keys int) {
	for ; keys > 0; keys -= 400 {
		var records []record.Record
		for range min(keys, 400) {
			records = append(records, record.Record{Claim: &record.Claim{
				Key: fmt.Sprintf("%d.key-%012d", y.now.Add(time.Hour).Unix(), from), Sum: make([]byte, 16),
			}})
			from++
		}
		y.fold(records...)
	}
}

// heap returns the bytes in use.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkFold measures the processor time of one record, at several sizes.
func BenchmarkFold(b *testing.B) {
	for _, keys := range []int{1000, 5000, 20000, 80000} {
		b.Run(fmt.Sprintf("record=claim/keys=%d", keys), func(b *testing.B) {
			y := newState(currentSize)
			y.claim(0, keys)
			startedAt := time.Now()
			const records = 20000
			y.claim(1<<30, records)
			b.ReportMetric(float64(time.Since(startedAt).Nanoseconds())/records, "ns/record")
		})
	}
	for _, workers := range []int{50, 500, 1500, 3000} {
		b.Run(fmt.Sprintf("record=sighting/workers=%d", workers), func(b *testing.B) {
			y := newState(size{workers: workers, pools: 5, teams: 2})
			startedAt := time.Now()
			const records = 2000
			for n := range records {
				i, _ := y.s.Instances.Get(fmt.Sprintf("w%04d", n%workers))
				w := i.Worker
				w.BootCount++
				y.fold(record.Record{ListUpdate: &record.ListUpdate{Revision: y.s.ListRevision + 1, Workers: []fleet.Worker{w}}})
			}
			b.ReportMetric(float64(time.Since(startedAt).Nanoseconds())/records, "ns/record")
		})
	}
}

// BenchmarkSnapshot measures the bytes of state for each stored item, in memory and on the log, and
// the time to decode a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	things := []struct {
		name string
		add  func(y *stateBuilder, n int)
		at   []int
	}{
		{"worker", nil, []int{500, 1000, 2000, 3000}},
		{"run", func(y *stateBuilder, n int) { y.submit(currentSize, n, manifest.Batch) }, []int{1000, 2000, 4000, 8000}},
		{"key", func(y *stateBuilder, n int) { y.claim(0, n) }, []int{5000, 10000, 20000, 40000}},
	}
	for _, thing := range things {
		for _, n := range thing.at {
			b.Run(fmt.Sprintf("thing=%s/n=%d", thing.name, n), func(b *testing.B) {
				before := heap()
				z := currentSize
				if thing.add == nil {
					z = size{workers: n, pools: 5, teams: 2}
				}
				y := newState(z)
				if thing.add != nil {
					thing.add(y, n)
				}
				used := heap() - before
				data, err := y.s.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(used, "heap-B")
				b.ReportMetric(float64(len(data)), "log-B")
				runtime.KeepAlive(y)
			})
		}
	}
	for _, z := range []size{currentSize, designSize} {
		b.Run("start/"+z.String(), func(b *testing.B) {
			y := newState(z)
			y.submit(z, z.runs, manifest.Batch)
			y.claim(0, z.keys)
			data, err := y.s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := state.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "decode-ms")
			b.ReportMetric(float64(len(data)), "log-B")
			b.ReportMetric(float64(len(state.Chunks(y.s.Offset, data))), "appends")
		})
	}
}
