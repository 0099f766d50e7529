// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/inflight"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/services/once"
	"github.com/yardbridge/yardbridge/services/outlier"
	"github.com/yardbridge/yardbridge/services/slots"
)

// Headers of requests and answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"    // from the caller
	HeaderTargetKey      = "Yardbridge-Key"     // to the target
	HeaderTimeout        = "Yardbridge-Timeout" // from the caller, such as 500ms
	HeaderClass          = "Yardbridge-Class"   // from the caller, interactive or batch
	HeaderDeadline       = "Yardbridge-Deadline"
	HeaderConfig         = "Yardbridge-Config"  // version of the configuration that served
	HeaderLeaving        = "Yardbridge-Leaving" // from a target that wants no more work
	HeaderEnded          = "Yardbridge-Ended"   // trailer of a stream that was ended early
)

// Dispatcher carries requests; its exported fields are set before first use.
type Dispatcher struct {
	Clock    clock.Clock
	Logger   log.Logger
	State    func() state.State
	Holder   *slots.Holder
	Outliers *outlier.Detector
	Once     *once.Service
	Metrics  *metrics.Set
	// OnLeaving is told of targets that say themselves that they leave.
	OnLeaving func(workers []string)
	// IdleConns is how many idle connections are kept to a target.
	IdleConns int
	// MaxBody is the largest body of a request in bytes.
	MaxBody int64

	dial     func(ctx context.Context, network, address string) (net.Conn, error) // nil for the network's
	start    sync.Once
	shared   *http.Transport // keeps connections
	single   *http.Transport // one connection a request, never sent twice by the library
	budget   retryBudget
	usual    usualTimes
	stopping atomic.Bool
	newest   atomic.Int64  // when the newest request came, in nanoseconds
	ended    chan struct{} // closed when streams must end
	endOnce  sync.Once
	active   inflight.Counter
	buffers  sync.Pool
	keys     atomic.Pointer[config.Config] // customers of a version of the catalog, nil before the first key
}

// dialTimeout bounds the time to connect to a target.
const dialTimeout = time.Second

func (d *Dispatcher) init() {
	d.start.Do(func() {
		d.ended = make(chan struct{})
		d.shared = newTransport(d.IdleConns, d.dial)
		d.single = newTransport(0, d.dial)
		d.single.DisableKeepAlives = true
		d.buffers.New = func() any { return new(buffer) }
	})
}

// call is one caller's request on its way.
type call struct {
	d        *Dispatcher
	w        http.ResponseWriter
	r        *http.Request
	id       string
	service  *manifest.Service
	version  uint64 // of the configuration
	path     string // at the target
	class    manifest.Class
	deadline time.Time
	body     []byte // nil where it is streamed
	key      string
	begun    time.Time
	attempts int     // that asked for a slot
	failedOn string  // worker of the attempt before, empty for the first one
	kept     *answer // newest server error that a target answered, nil for none
	lost     error   // newest failure of an attempt that reached a target, nil for none
}

// Serve answers a request for a service at a path below it.
func (d *Dispatcher) Serve(w http.ResponseWriter, r *http.Request, service, path string) {
	d.init()
	d.Metrics.Requests.Inc(1)
	begun := d.Clock.Now()
	d.newest.Store(begun.UnixNano())
	c := &call{d: d, w: w, r: r, path: path, id: r.Header.Get(HeaderRequestID), begun: begun}
	if c.id == "" {
		c.id = rand.Text()
	}
	w.Header()[HeaderRequestID] = []string{c.id}
	if err := c.serve(service); err != nil {
		c.refuse(err)
	}
	d.Metrics.Latency.Update(d.Clock.Now().Sub(begun))
}

func (c *call) serve(service string) error {
	c.d.active.Begin()
	defer c.d.active.End()
	if c.d.stopping.Load() {
		return errkind.New(errkind.Stopping, "this entry is stopping; another one takes the request")
	}
	if err := c.parse(service); err != nil {
		return err
	}
	if c.key != "" {
		return c.serveOnce()
	}
	return c.serveUsual()
}

// refuse answers with an error of the closed list.
func (c *call) refuse(err error) {
	e := errkind.Of(err)
	switch e.Kind.Response().Outcome {
	case errkind.NotRun:
		c.d.Metrics.Refused.Inc(1)
	case errkind.Unknown:
		c.d.Metrics.Unknown.Inc(1)
	}
	c.d.Logger.Debug().Str("request", c.id).Err(e).Msg("request refused")
	errkind.Write(c.w, c.id, e)
}

// LastRequest returns when the newest request came, 1970 for never.
func (d *Dispatcher) LastRequest() time.Time { return time.Unix(0, d.newest.Load()) }

// EndStreams ends the streams under way cleanly.
func (d *Dispatcher) EndStreams() {
	d.init()
	d.endOnce.Do(func() { close(d.ended) })
}

// Stop refuses new requests, ends streams and returns once everything in
// flight has its answer.
func (d *Dispatcher) Stop() {
	d.EndStreams()
	d.stopping.Store(true)
	d.active.Wait()
	d.shared.CloseIdleConnections()
}
