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

// Headers of requests and responses.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"    // from the caller
	HeaderTargetKey      = "Yardbridge-Key"     // to the target
	HeaderTimeout        = "Yardbridge-Timeout" // from the caller, such as 500ms
	HeaderClass          = "Yardbridge-Class"   // from the caller, interactive or batch
	HeaderDeadline       = "Yardbridge-Deadline"
	HeaderConfig         = "Yardbridge-Config"  // version of the configuration by which the request was served
	HeaderLeaving        = "Yardbridge-Leaving" // from a target that accepts no more requests
	HeaderEnded          = "Yardbridge-Ended"   // trailer of a stream that was ended early
)

// Dispatcher forwards requests; its exported fields are set before first use.
type Dispatcher struct {
	Clock    clock.Clock
	Logger   log.Logger
	State    func() state.State
	Holder   *slots.Holder
	Outliers *outlier.Detector
	Once     *once.Service
	Metrics  *metrics.Set
	// OnLeaving is called with the workers of targets that announce that they leave.
	OnLeaving func(workers []string)
	// IdleConns is the number of idle connections kept to a target.
	IdleConns int
	// MaxBody is the largest request body in bytes.
	MaxBody int64

	dial        func(ctx context.Context, network, address string) (net.Conn, error) // nil for a net.Dialer
	initOnce    sync.Once
	pooled      *http.Transport // keeps idle connections
	unpooled    *http.Transport // one connection for each request, which net/http never sends twice
	budget      retryBudget
	typical     typicalTimes
	stopping    atomic.Bool
	lastRequest atomic.Int64  // arrival of the newest request, in nanoseconds
	stopStreams chan struct{} // closed when streams must end
	endOnce     sync.Once
	active      inflight.Counter
	buffers     sync.Pool
	keys        atomic.Pointer[config.Config] // customers of a version of the catalog, nil before the first key is checked
}

// dialTimeout is the longest time to connect to a target.
const dialTimeout = time.Second

func (d *Dispatcher) init() {
	d.initOnce.Do(func() {
		d.stopStreams = make(chan struct{})
		d.pooled = newTransport(d.IdleConns, d.dial)
		d.unpooled = newTransport(0, d.dial)
		d.unpooled.DisableKeepAlives = true
		d.buffers.New = func() any { return new(buffer) }
	})
}

// call is one request of a caller in progress.
type call struct {
	d                *Dispatcher
	w                http.ResponseWriter
	r                *http.Request
	id               string
	service          *manifest.Service
	version          uint64 // of the configuration
	path             string // at the target
	class            manifest.Class
	deadline         time.Time
	body             []byte // nil if it is streamed
	key              string
	startedAt        time.Time
	attempts         int     // that requested a slot
	lastFailedWorker string  // worker of the previous attempt, empty for the first one
	storedResult     *result // latest server error that a target returned, nil for none
	unknownErr       error   // latest failure of an attempt that reached a target, nil for none
}

// Serve handles a request for a service at a path below it.
func (d *Dispatcher) Serve(w http.ResponseWriter, r *http.Request, service, path string) {
	d.init()
	d.Metrics.Requests.Inc(1)
	startedAt := d.Clock.Now()
	d.lastRequest.Store(startedAt.UnixNano())
	c := &call{d: d, w: w, r: r, path: path, id: r.Header.Get(HeaderRequestID), startedAt: startedAt}
	if c.id == "" {
		c.id = rand.Text()
	}
	w.Header()[HeaderRequestID] = []string{c.id}
	if err := c.serve(service); err != nil {
		c.refuse(err)
	}
	d.Metrics.Latency.Update(d.Clock.Now().Sub(startedAt))
}

func (c *call) serve(service string) error {
	c.d.active.Begin()
	defer c.d.active.End()
	if c.d.stopping.Load() {
		return errkind.New(errkind.Stopping, "this entry is stopping; send the request to another one")
	}
	if err := c.parse(service); err != nil {
		return err
	}
	if c.key != "" {
		return c.serveKeyed()
	}
	return c.serveWithRetries()
}

// refuse responds with an error, which gets one of the kinds of errkind.
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

// LastRequest returns the arrival of the newest request, 1970 if there was none.
func (d *Dispatcher) LastRequest() time.Time { return time.Unix(0, d.lastRequest.Load()) }

// EndStreams ends the open streams cleanly.
func (d *Dispatcher) EndStreams() {
	d.init()
	d.endOnce.Do(func() { close(d.stopStreams) })
}

// Stop rejects new requests, ends streams and waits until every request in flight has its response.
func (d *Dispatcher) Stop() {
	d.EndStreams()
	d.stopping.Store(true)
	d.active.Wait()
	d.pooled.CloseIdleConnections()
}
