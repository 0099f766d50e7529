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

// finishLimit bounds a planned stop.
const finishLimit = 2 * time.Minute

// Daemon is one entry process.
type Daemon struct {
	Entry         *entry.Entry
	CallerAddress string // address for callers, once started
	AdminAddress  string // address for administration, once started

	setting setting.Settings
	callers *httpserve.Server
	admin   *httpserve.Server
	cancel  context.CancelFunc
}

// Start opens the surfaces of an entry and brings it to life; it returns once
// the entry is ready.
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
	// The surfaces answer before the entry is ready: that it is not.
	go d.callers.Run(running)
	go d.admin.Run(running)
	// A stop that comes before the entry is ready needs no ceremony; one that
	// comes later is Stop's, which needs the log to the end.
	early := context.AfterFunc(ctx, cancel)
	err = e.Start(running)
	stopped := !early()
	if !stopped && err == nil {
		return d, nil
	}
	d.Kill()
	if stopped {
		// What the start was doing failed for that.
		logger.Info().Str("event", "stop").AnErr("err", err).Msg("the entry is asked to stop before it is ready")
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
	desk := &jobs.Service{
		Clock: d.Entry.Clock, State: d.Entry.Ledger.State, Waiting: d.Entry.Jobs.Waiting,
		Propose: d.Entry.Propose,
	}
	router := &apiv1.Router{Entry: d.Entry, Jobs: desk}
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

// Stop is the planned stop: the balancer is told first, then nothing new is
// taken, and what is in flight gets its answer.
func (d *Daemon) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), finishLimit)
	defer cancel()
	d.Entry.Withdraw()
	d.callers.DisableKeepAlives()
	calm{
		Clock: d.Entry.Clock, Newest: d.Entry.Dispatch.LastRequest, Span: d.Entry.CurrentSetting().Limits.ShutdownDelay.Std(),
	}.await()
	d.Entry.Dispatch.EndStreams()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.Entry.Logger.Warn().Err(err).Msg("requests were still in flight")
	}
	d.Entry.Shutdown(ctx)
	if err := d.admin.Shutdown(ctx); err != nil {
		d.Entry.Logger.Warn().Err(err).Msg("administration cut off")
	}
	d.cancel()
}

// Reload takes over newer settings and returns the keys of those that need a restart.
func (d *Daemon) Reload(s setting.Settings) (restart []string) {
	restart = d.Entry.Reload(s)
	d.callers.SetMaxConnections(s.Limits.MaxConnections)
	d.admin.SetMaxConnections(s.Limits.MaxConnections)
	return restart
}

// Kill ends the process's work at once, as if it had crashed.
func (d *Daemon) Kill() {
	d.cancel()
	// Errors of closing tell nothing here.
	_ = d.callers.Close()
	_ = d.admin.Close()
}
