// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/adapters/platformhttp"
	"github.com/yardbridge/yardbridge/entry"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/httpserve"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/routers/apiv1"
	"github.com/yardbridge/yardbridge/routers/caller"
	"github.com/yardbridge/yardbridge/services/jobs"
)

// shutdownTimeout is the longest time for a planned stop.
const shutdownTimeout = 2 * time.Minute

// Daemon is one entry process with its listeners.
type Daemon struct {
	Entry         *entry.Entry
	CallerAddress string // address for callers, once started
	AdminAddress  string // address for administration, once started

	setting setting.Settings
	callers *httpserve.Server
	admin   *httpserve.Server
	cancel  context.CancelFunc
}

// Start opens the listeners of an entry and starts it; it returns once the entry is ready.
func Start(ctx context.Context, s setting.Settings, logger log.Logger) (*Daemon, error) {
	counts := metrics.New()
	client := platformhttp.New(s.Platform.URL, s.Entry.Name, counts)
	ports := entry.Ports{Log: client.Log(), Fleet: client.Fleet(), Tasks: client.Tasks()}
	e, err := entry.New(s, ports, counts, clock.Clock{}, logger)
	if err != nil {
		return nil, err
	}
	d := &Daemon{Entry: e, setting: s}
	if err := d.open(); err != nil {
		return nil, err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	// The listeners respond before the entry is ready, with the status that it is not ready.
	go d.callers.Run(running)
	go d.admin.Run(running)
	// A stop before the entry is ready just cancels the start. A later stop is handled by Stop,
	// which needs the log until its end.
	early := context.AfterFunc(ctx, cancel)
	err = e.Start(running)
	stopped := !early()
	if !stopped && err == nil {
		return d, nil
	}
	d.Kill()
	if stopped {
		// The error of the start is a consequence of the stop.
		logger.Info().Str("event", "stop").AnErr("err", err).Msg("the entry was stopped before it was ready")
		err = errors.Trace(ctx.Err())
	}
	return nil, err
}

func (d *Daemon) open() error {
	l := d.setting.Limits
	d.callers = &httpserve.Server{
		Handler:        &caller.Router{Dispatch: d.Entry.Dispatch, Ready: d.Entry.Ready},
		MaxHeaderBytes: l.HeaderBytes,
		ReadTimeout:    l.ReadTimeout.Std(),
		MaxConnections: l.MaxConnections,
	}
	service := &jobs.Service{
		Clock: d.Entry.Clock, State: d.Entry.Ledger.State, Waiting: d.Entry.Jobs.Waiting,
		Propose: d.Entry.Propose,
	}
	router := &apiv1.Router{Entry: d.Entry, Jobs: service}
	d.admin = &httpserve.Server{
		Handler:        router.Handler(),
		MaxHeaderBytes: l.HeaderBytes,
		ReadTimeout:    l.ReadTimeout.Std(),
		MaxConnections: l.MaxConnections,
	}
	var err error
	if d.CallerAddress, err = d.callers.Listen(d.setting.Listen.Callers); err != nil {
		return errors.Annotate(err, "address for callers")
	}
	if d.AdminAddress, err = d.admin.Listen(d.setting.Listen.Admin); err != nil {
		return errors.Annotate(err, "address for administration")
	}
	return nil
}

// Stop performs a planned stop: the entry first becomes not ready for the load balancer, then
// accepts no new requests and waits for the responses of those in flight.
func (d *Daemon) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	d.Entry.Withdraw()
	d.callers.DisableKeepAlives()
	quietWait{
		Clock: d.Entry.Clock, LastRequest: d.Entry.Dispatch.LastRequest, Quiet: d.Entry.CurrentSettings().Limits.ShutdownDelay.Std(),
	}.await()
	d.Entry.Dispatch.EndStreams()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.Entry.Logger.Warn().Err(err).Msg("requests were still in flight")
	}
	d.Entry.Shutdown(ctx)
	if err := d.admin.Shutdown(ctx); err != nil {
		d.Entry.Logger.Warn().Err(err).Msg("administration connections were cut off")
	}
	d.cancel()
}

// Reload applies newer settings and returns the keys of those that need a restart.
func (d *Daemon) Reload(s setting.Settings) (restart []string) {
	restart = d.Entry.Reload(s)
	d.callers.SetMaxConnections(s.Limits.MaxConnections)
	d.admin.SetMaxConnections(s.Limits.MaxConnections)
	return restart
}

// Kill ends the process's work immediately, like a crash.
func (d *Daemon) Kill() {
	d.cancel()
	// Errors of closing are irrelevant here.
	_ = d.callers.Close()
	_ = d.admin.Close()
}
