// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/modules/httpserve"
)

// Defaults of the stand-in.
const (
	defaultAppends  = 100
	defaultRetain   = 24 * time.Hour
	defaultLag      = 500 * time.Millisecond
	defaultBootTime = 2 * time.Second
	readTimeout     = time.Minute // for the header of a request, and for its body
)

// RunningServer is a stand-in that serves requests.
type RunningServer struct {
	Server  *Server
	Address string

	httpServer *httpserve.Server
}

// Options change the stand-in's behaviour; zero values select the defaults.
type Options struct {
	Address          string // to listen on
	Lag              time.Duration
	BootTime         time.Duration
	Retention        time.Duration
	AppendsPerSecond int
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Start serves a stand-in with a sample target for each worker, on the IP of its own
// address.
func Start(o Options, workers []fleet.Worker) (*RunningServer, error) {
	s := &Server{
		Log:      &Log{AppendsPerSecond: orDefault(o.AppendsPerSecond, defaultAppends), Retention: orDefault(o.Retention, defaultRetain)},
		Platform: &Platform{Lag: orDefault(o.Lag, defaultLag), BootTime: orDefault(o.BootTime, defaultBootTime)},
		Targets:  make(map[string]*Target),
	}
	httpServer := &httpserve.Server{Handler: s.Handler(), ReadTimeout: readTimeout}
	address, err := httpServer.Listen(o.Address)
	if err != nil {
		return nil, errors.Annotate(err, "stand-in")
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, w := range workers {
		t := &Target{Name: w.ID}
		if w.Address, err = t.Listen(net.JoinHostPort(host, "0")); err != nil {
			return nil, err
		}
		s.Targets[w.ID] = t
		s.Platform.SetWorker(w)
	}
	r := &RunningServer{Server: s, Address: address, httpServer: httpServer}
	go httpServer.Run(context.Background())
	return r, nil
}

// stopLimit bounds a graceful stop of the stand-in, whose requests take milliseconds except
// for those that wait for changes.
const stopLimit = 2 * time.Second

// Stop lets the accepted requests complete and closes the stand-in.
func (r *RunningServer) Stop(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	err := r.httpServer.Shutdown(bounded)
	r.Close(ctx)
	return errors.Trace(err)
}

// Close closes the stand-in and its targets immediately.
func (r *RunningServer) Close(context.Context) {
	_ = r.httpServer.Close()
	for _, t := range r.Server.Targets {
		_ = t.Close()
	}
}
