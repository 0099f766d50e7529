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

	"github.com/yardbridge/yardbridge/modules/body"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/httpconn"
	"github.com/yardbridge/yardbridge/modules/httpserve"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/oslimit"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/node"
	"github.com/yardbridge/yardbridge/platform"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/measure"
)

// memoryLimitShare is the part of a node's memory that is set as the runtime's memory limit, so that
// enough is left for memory which the runtime does not count.
const memoryLimitShare = 0.7

// collectorPercent is by how much the heap may grow over what is in use before it is collected. At the default of 100 a
// node in a surge collects several times a second, far below its memory limit, which holds all the same.
const collectorPercent = 400

// limitMemory sets the runtime's memory limit, in MiB of the node's memory, and lets the heap grow more freely below it.
func limitMemory(nodeMB int64) {
	debug.SetMemoryLimit(int64(float64(nodeMB<<20) * memoryLimitShare))
	debug.SetGCPercent(collectorPercent)
}

// storeChannels is the number of channels to the store that are kept open: one for each pool and
// each feed that a node typically has.
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
	lines := &log.AsyncWriter{Output: c.out}
	defer lines.Flush()
	logger, err := log.New(lines, s.Log.Level, s.Node.Name)
	if err != nil {
		return errors.Trace(err)
	}
	c.signals.use(logger)
	if s.Node.MemoryMB > 0 {
		limitMemory(s.Node.MemoryMB)
	}
	p, err := openNode(s, logger)
	if err != nil {
		return err
	}
	p.meter.Gauge("log.dropped", lines.Dropped)
	logger.Info().Str("event", "start").Str("callers", s.Listen.Callers).Str("store", s.Platform.Store).Msg("the node starts")
	// A hang-up signal while another one is waiting is merged with it, since the file is read after
	// both.
	hangup := make(chan struct{}, 1)
	p.watchSettings(ctx, *path, data, hangup)
	c.signals.serving(func() { wake(hangup) }, nil)
	p.run(ctx)
	logger.Info().Str("event", "stop").Dur("after", time.Since(p.stopping)).Msg("the node has stopped")
	return nil
}

// useProcessLimits takes the limits that the settings don't state from the process.
func useProcessLimits(n *directory.Node) {
	if n.Descriptors == 0 {
		n.Descriptors = oslimit.Descriptors()
	}
	if n.MemoryMB == 0 {
		n.MemoryMB = oslimit.MemoryMB()
	}
}

// nodeProcess is one node and its listeners.
type nodeProcess struct {
	node    *node.Node
	setting setting.Node
	logger  log.Logger
	meter   *measure.Meter
	callers *httpserve.Server
	ready   *httpserve.Server
	metrics *httpserve.Server // nil for none

	stopping time.Time // when the stop began, zero before
}

func openNode(s setting.Node, logger log.Logger) (*nodeProcess, error) {
	meter := measure.New()
	c := platformClients{meter, logger}
	store := &platform.Store{Client: c.to("store", s.Platform.Store)}
	store.Client.MaxIdle = storeChannels
	workers := &platform.Workers{Client: func(address string) *httpconn.Client { return c.to("worker", address) }}
	nodeFound, _ := meter.Channels("node")
	n, err := node.New(s, node.Ports{
		Store:          meter.Store(store.Port()),
		Feeds:          platform.Feeds(),
		Workers:        meter.Workers(workers.Port()),
		Instances:      meter.Instances(c.instances(s.Platform).Port()),
		Advisor:        meter.Advisor((&platform.Advisor{Client: c.to("advice", s.Platform.Advice)}).Port()),
		OnUnresponsive: func(_ string, after time.Duration) { nodeFound(1, after) },
		Count:          meter.Count,
		Add:            meter.Add,
		Observe:        meter.Observe,
	}, machineClock(logger), logger)
	if err != nil {
		return nil, err
	}
	useProcessLimits(&n.Directory.Self)
	meter.Gauge("pools.owned", n.OwnedPools)
	meter.Gauge("jobs.memory", n.JobMemory)
	meter.Gauge("config.version", n.ConfigVersion)
	meter.Gauge("data_centers.evacuated", n.EvacuatedDataCenters)
	meter.Gauge("workers.listed", n.ListedWorkers)
	meter.Gauge("nodes.registered", n.RegisteredNodes)
	meter.Gauge("instances.serving", func() int64 { return int64(n.InstanceProgress().Serving) })
	meter.Gauge("instances.on_way", func() int64 { return int64(n.InstanceProgress().OnWay) })
	meter.Gauge("instances.promised", func() int64 { return int64(n.InstanceProgress().Promised) })
	meter.Gauge("instances.kept", func() int64 { return int64(n.InstanceProgress().Kept) })
	p := &nodeProcess{node: n, setting: s, logger: logger, meter: meter}
	return p, p.open()
}

// machineClock returns the machine's clock, which also counts the time for which the machine is
// suspended if the system reports that.
func machineClock(logger log.Logger) clock.Clock {
	c, err := clock.NewSuspendAware(clock.SinceBoot, time.Now, func(d time.Duration, err error) {
		if err != nil {
			logger.Warn().Str("event", "suspended").Err(err).Msg("it is unknown whether the machine was suspended")
			return
		}
		logger.Warn().Str("event", "suspended").Dur("for", d).Msg("the machine was suspended; known data is older by that time")
	})
	if err != nil {
		logger.Warn().Str("event", "suspended").Err(err).Msg("the system does not report suspensions of the machine; they are not counted")
		return clock.Clock{}
	}
	return c.Clock()
}

// Limits of connections, each far above what a caller needs. The operators' limits apply instead
// where they are shorter.
const (
	readTimeout = 5 * time.Second // for the head of a request to arrive, and for its body
	idleTimeout = 2 * time.Minute // between the requests of a connection
	headerBytes = 16 << 10        // of the head of a request, like the operators' limit
	// writeTimeout is for a part of a response of some kilobytes to be taken over by the caller's system.
	writeTimeout = 5 * time.Second
	// stateWriters is how many responses with the metrics or the state are built at a time: each is kept until the reader
	// has taken it.
	stateWriters = 4
)

// open opens the addresses for callers, for the platform's readiness probe and for metrics.
func (p *nodeProcess) open() error {
	memory := node.DivideMemory(p.setting)
	bodies := body.NewReader(memory.Bodies)
	p.callers = &httpserve.Server{
		Handler:        &platform.CallerHandler{Gateway: p.node.Gateway, Logger: p.logger, Meter: p.meter, Bodies: bodies},
		MaxConnections: memory.Connections, CurrentTimeouts: p.callerTimes, IdleGrace: connectionWait, Memory: bodies.Budget(),
	}
	p.ready = &httpserve.Server{Handler: http.HandlerFunc(p.serveReady), MaxConnections: memory.Probes, Memory: bodies.Budget()}
	p.meter.Gauge("bodies.held", bodies.Held)
	p.meter.Gauge("bodies.refused", bodies.Refused)
	p.meter.Gauge("callers.connections", func() int64 { return int64(p.callers.Connections()) })
	p.meter.Gauge("callers.closed", p.callers.ClosedAtAccept)
	p.meter.Gauge("messages.held", p.node.MessageMemory)
	listen := p.setting.Listen
	if err := serveAt(p.callers, listen.Callers); err != nil {
		return errors.Annotate(err, "address for callers")
	}
	if err := serveAt(p.ready, listen.Ready); err != nil {
		return errors.Annotate(err, "address for the platform's readiness probe")
	}
	if listen.MetricsPort == 0 {
		return nil
	}
	metrics := &httpserve.Server{Handler: few(p.metricsHandler()), MaxConnections: memory.Probes, Memory: bodies.Budget()}
	if err := serveAt(metrics, p.setting.MetricsAddress()); err != nil {
		// Callers are served even without metrics.
		p.logger.Error().Str("event", "listen").Str("address", p.setting.MetricsAddress()).Err(err).Msg("the metrics can't be served")
		return nil
	}
	p.metrics = metrics
	return nil
}

// serveAt opens the address of a listener.
func serveAt(s *httpserve.Server, address string) error {
	s.MaxHeaderBytes, s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = headerBytes, readTimeout, writeTimeout, idleTimeout
	_, err := s.Listen(address)
	return err
}

// callerTimes returns the operators' timeouts for heads and idle connections.
func (p *nodeProcess) callerTimes() (header, idle time.Duration) {
	c := p.node.Gateway.Config()
	if c == nil {
		return 0, 0
	}
	return c.Limits.HeaderTimeout, c.Limits.IdleTimeout
}

// metricsHandler returns the handler of the counters, the histograms and the node's state.
func (p *nodeProcess) metricsHandler() http.Handler {
	paths := http.NewServeMux()
	paths.Handle("GET /metrics", p.meter)
	paths.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The error of a client that has disconnected is ignored.
		_ = json.NewEncoder(w).Encode(p.node.Dump())
	})
	return paths
}

// few returns a handler that serves few requests at a time. Others are refused: the response of a reader that takes
// nothing is kept until its write ends.
func few(h http.Handler) http.Handler {
	slots := make(chan struct{}, stateWriters)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			errkind.Write(w, "", errkind.New(errkind.Overloaded, "%d readers are being served", stateWriters))
		}
	})
}

func (p *nodeProcess) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Times of a stop.
const (
	// cancelShare is the part of the grace period after which requests in flight are cancelled.
	cancelShare = 0.7
	// listenShare is the part of the grace period after which the node stops listening, whether its
	// pools are handed over by then or not; the remaining time is for callers.
	listenShare = 0.35
	// connectionWait is how long the node waits for callers to close their kept connections; it
	// continues to listen while there are some. The platform probes each second whether a node is
	// ready, and sends it no new callers after two responses that it is not.
	connectionWait = 2200 * time.Millisecond
	// probeResponseTime is the time for responses in flight to the platform's probes.
	probeResponseTime = 50 * time.Millisecond
)

// run serves until the context ends, then hands the node's pools over and completes the requests in
// flight.
func (p *nodeProcess) run(ctx context.Context) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { p.callers.Run(running) })
	tasks.Go(func() { p.ready.Run(running) })
	if p.metrics != nil {
		tasks.Go(func() { p.metrics.Run(running) })
	}
	tasks.Go(func() { p.node.Run(running) })
	<-ctx.Done()
	p.logger.Info().Str("event", "stop").Msg("the node is stopping")
	p.stopping = time.Now()
	p.stop(running)
	cancel()
	tasks.Wait()
	p.logStop("ended")
}

// logStop logs that a step of the stop is done, and when.
func (p *nodeProcess) logStop(step string) {
	p.logger.Info().Str("event", "stop").Str("step", step).Dur("after", time.Since(p.stopping)).Msg("a step of the stop is done")
}

// stop hands the node's pools over and shuts each listener down after the responses to its accepted
// requests.
func (p *nodeProcess) stop(ctx context.Context) {
	grace := p.setting.Bounds.ShutdownGrace.Std()
	bounded, end := context.WithTimeout(ctx, share(grace, cancelShare))
	defer end()
	// The next response on each kept connection announces that the connection closes, so that the
	// caller connects elsewhere.
	p.callers.DisableKeepAlives()
	handedOver := make(chan struct{})
	go p.handOver(bounded, handedOver)
	select {
	case <-handedOver:
	case <-time.After(share(grace, listenShare)):
	}
	if err := p.callers.Shutdown(bounded); err != nil {
		p.logger.Warn().Str("event", "stop").Err(err).Msg("calls of callers were cut off")
	}
	p.logStop("callers served")
	<-handedOver
	probes, endProbes := context.WithTimeout(ctx, probeResponseTime)
	defer endProbes()
	// Responses about readiness or metrics that are not immediate are not waited for.
	_ = p.ready.Shutdown(probes)
	if p.metrics != nil {
		_ = p.metrics.Shutdown(probes)
	}
	p.logStop("listeners closed")
}

// handOver hands the node's pools over to other nodes.
func (p *nodeProcess) handOver(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	p.node.HandOver(ctx)
	p.logStop("pools handed over")
}

// share returns a part of a duration.
func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }
