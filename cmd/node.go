// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/httpconn"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/node"
	"github.com/yardbridge/yardbridge/platform"
	"github.com/yardbridge/yardbridge/services/measure"
)

// memoryShare is the part of a node's memory that the runtime is told to stay
// under, so that what it can't count has room.
const memoryShare = 0.7

// storeChannels is how many channels to the store are kept open: one for each
// pool and each feed that a node usually has.
const storeChannels = 8

// runNode runs a node on the users' platform until SIGTERM or SIGINT.
func runNode(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	path := flags.String("settings", "", "file with the settings of this process")
	if err := parse(flags, args, "-settings FILE", 0, 0); err != nil {
		return err
	}
	if *path == "" {
		return usageError{"-settings is missing"}
	}
	data, err := readSettings(ctx, *path)
	if err != nil {
		return err
	}
	s, err := setting.ParseNode(*path, string(data))
	if err != nil {
		return err
	}
	lines := &log.Queue{Target: c.out}
	defer lines.Flush()
	logger, err := log.New(lines, s.Log.Level, s.Node.Name)
	if err != nil {
		return errors.Trace(err)
	}
	c.signals.use(logger)
	debug.SetMemoryLimit(int64(float64(s.Node.MemoryMB<<20) * memoryShare))
	p, err := openNode(s, logger)
	if err != nil {
		return err
	}
	p.meter.Gauge("log.dropped", lines.Dropped)
	logger.Info().Str("event", "start").Str("customers", s.Listen.Customers).Str("store", s.Platform.Store).Msg("the node starts")
	// A hang-up that finds one waiting is one with it: the file is read after it.
	hangup := make(chan struct{}, 1)
	p.watchSettings(ctx, *path, data, hangup)
	c.signals.serving(func() { tell(hangup) }, nil)
	p.run(ctx)
	logger.Info().Str("event", "stop").Msg("the node has stopped")
	return nil
}

// nodeProcess is one node and its surfaces.
type nodeProcess struct {
	node      *node.Node
	setting   setting.Node
	logger    log.Logger
	meter     *measure.Meter
	customers *http.Server
	ready     *http.Server
	metrics   *http.Server // nil for none
}

func openNode(s setting.Node, logger log.Logger) (*nodeProcess, error) {
	store := &platform.Store{Client: &httpconn.Client{Address: s.Platform.Store, MaxIdle: storeChannels}}
	meter := measure.New()
	n, err := node.New(s, node.Ports{
		Store:     meter.Store(store.Port()),
		Feeds:     platform.Feeds(),
		Workers:   meter.Workers((&platform.Workers{}).Port()),
		Instances: meter.Instances((&platform.Instances{Client: &httpconn.Client{Address: s.Platform.Instances}}).Port()),
		Advisor:   meter.Advisor((&platform.Advisor{Client: &httpconn.Client{Address: s.Platform.Advice}}).Port()),
	}, clock.Clock{}, logger)
	if err != nil {
		return nil, err
	}
	meter.Gauge("pools.owned", n.Owned)
	meter.Gauge("config.version", n.Version)
	p := &nodeProcess{node: n, setting: s, logger: logger, meter: meter}
	p.customers = &http.Server{
		Addr:              s.Listen.Customers,
		Handler:           &platform.Customers{Gateway: n.Gateway, Logger: logger, Meter: meter},
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	p.ready = &http.Server{Addr: s.Listen.Ready, Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: readTimeout}
	if s.Listen.Metrics > 0 {
		p.metrics = &http.Server{Addr: s.Figures(), Handler: p.figures(), ReadHeaderTimeout: readTimeout}
	}
	return p, nil
}

// The bounds of customers' connections, each far above what a customer needs.
const (
	readTimeout = 5 * time.Second // for the head of a request to come
	idleTimeout = 2 * time.Minute // between the requests of a connection
	headerBytes = 16 << 10        // of the head of a request
)

// figures answers with the counters and histograms, and with what the node
// believes.
func (p *nodeProcess) figures() http.Handler {
	paths := http.NewServeMux()
	paths.Handle("GET /metrics", p.meter)
	paths.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An answer that can't be written has nobody who waits for it.
		_ = json.NewEncoder(w).Encode(p.node.Dump())
	})
	return paths
}

func (p *nodeProcess) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stopShare is the part of the grace after which connections are closed.
const stopShare = 0.7

// run serves until the context ends, hands the node's pools over and lets what
// is in flight end.
func (p *nodeProcess) run(ctx context.Context) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { p.serve(p.customers) })
	tasks.Go(func() { p.serve(p.ready) })
	if p.metrics != nil {
		tasks.Go(func() { p.serve(p.metrics) })
	}
	tasks.Go(func() { p.node.Run(running) })
	<-ctx.Done()
	p.logger.Info().Str("event", "stop").Msg("the node is asked to stop")
	bounded, end := context.WithTimeout(running, time.Duration(float64(p.setting.Bounds.Grace.Std())*stopShare))
	defer end()
	p.node.HandOver(bounded)
	if err := p.customers.Shutdown(bounded); err != nil {
		p.logger.Warn().Str("event", "stop").Err(err).Msg("calls of customers were cut off")
	}
	// Nobody waits for an answer about readiness any more.
	_ = p.ready.Close()
	if p.metrics != nil {
		_ = p.metrics.Close()
	}
	cancel()
	tasks.Wait()
}

// serve serves one surface until it is shut down.
func (p *nodeProcess) serve(s *http.Server) {
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		p.logger.Error().Str("event", "listen").Str("address", s.Addr).Err(err).Msg("an address can't be served")
	}
}
