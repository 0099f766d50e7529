// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/adapters/platformhttp"
	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/routers/daemon"
	"github.com/yardbridge/yardbridge/services/rollout"
	"github.com/yardbridge/yardbridge/standin"
)

// cluster is a stand-in with targets and several entries, in this process.
type cluster struct {
	platform *standin.RunningServer
	daemons  []*daemon.Daemon
	client   *http.Client
}

const dataCenters = 3

// fleetOf returns workers in racks of four, in three data centres.
func fleetOf(n int) []fleet.Worker {
	var workers []fleet.Worker
	for i := range n {
		rack := i / 4
		workers = append(workers, fleet.Worker{
			ID: fmt.Sprintf("w%04d", i), DataCenter: fmt.Sprintf("hall-%d", rack%dataCenters), Rack: fmt.Sprintf("r%d", rack),
			Cores: 16, MemoryGB: 32, Slots: 8, Connections: 64, Condition: fleet.Live,
		})
	}
	return workers
}

// benchManifest declares one pool with services on it.
const benchManifest = `
deployment = "bench"
[[team]]
name = "t"
[[pool]]
name = "pool"
team = "t"
size = %d
available = 0
[[service]]
name = "svc"
team = "t"
pool = "pool"
deadline = "%s"
queue = %d
[[service]]
name = "once"
team = "t"
pool = "pool"
deadline = "5s"
queue = 10000
repeatable = []
`

func newCluster(b *testing.B, entries, workers int, deadline time.Duration, queue int) *cluster {
	b.Helper()
	platform, err := standin.Start(standin.Options{Address: "127.0.0.1:0", Lag: 10 * time.Millisecond}, fleetOf(workers))
	if err != nil {
		b.Fatal(err)
	}
	c := &cluster{platform: platform, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	b.Cleanup(c.close)
	for n := range entries {
		c.add(b, n, entries)
	}
	file, problems := manifest.Parse("bench", fmt.Sprintf(benchManifest, workers, deadline, queue))
	if err := problems.Err(); err != nil {
		b.Fatal(err)
	}
	c.apply(b, file)
	for _, d := range c.daemons {
		for len(d.Entry.Ledger.State().PoolInstances("pool")) < workers {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return c
}

func (c *cluster) add(b *testing.B, n, entries int) {
	b.Helper()
	s := setting.Default()
	s.Entry = setting.Entry{Name: fmt.Sprintf("e%03d", n), Hall: fmt.Sprintf("hall-%d", n%dataCenters)}
	s.Listen = setting.Listen{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.URL = "http://" + c.platform.Address
	s.Peers.Insecure = true
	s.Limits.MaxEntries = max(entries, s.Limits.MaxEntries)
	s.Limits.ShutdownDelay = 0
	c.platform.Server.Platform.SetEntry(s.Entry.Name, true)
	d, err := daemon.Start(context.Background(), s, log.Nop())
	if err != nil {
		b.Fatal(err)
	}
	c.daemons = append(c.daemons, d)
}

func (c *cluster) apply(b *testing.B, file manifest.File) time.Duration {
	b.Helper()
	startedAt := time.Now()
	r, err := c.daemons[0].Entry.Rollout.Apply(context.Background(), rollout.Request{File: file, AllowShortage: true})
	if err != nil {
		b.Fatal(err)
	}
	if !r.InForce {
		b.Fatalf("not in force on %v", r.Lagging)
	}
	return time.Since(startedAt)
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.Kill()
	}
	c.client.CloseIdleConnections()
	c.platform.Close(context.Background())
}

// url returns the address of a path through an entry.
func (c *cluster) url(entry int, path string) string {
	return "http://" + c.daemons[entry%len(c.daemons)].CallerAddress + path
}

// maxSlots returns the largest number of requests that a target had at once.
func (c *cluster) maxSlots() int {
	most := 0
	for _, t := range c.platform.Server.Targets {
		most = max(most, t.Stats().MaxInFlight)
	}
	return most
}

// get sends a request and reads the complete response.
func get(client *http.Client, url string) (int, error) {
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// platformClient returns a client of the stand-in in addition to those of the entries.
func (c *cluster) platformClient() *platformhttp.Client {
	return &platformhttp.Client{Base: "http://" + c.platform.Address, Name: "benchmark"}
}
