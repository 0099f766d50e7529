// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/examples"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/routers/daemon"
	"github.com/yardbridge/yardbridge/services/rollout"
	"github.com/yardbridge/yardbridge/standin"
)

// standaloneToken is the token of a standalone run, which listens on loopback only.
const standaloneToken = "standalone-operator"

// standaloneEntries is the number of entries of a standalone run.
const standaloneEntries = 3

// applyLimit is the longest time for the first apply of a standalone run.
const applyLimit = 30 * time.Second

// runStandalone runs the stand-in and the entries in one process until SIGTERM or SIGINT.
func runStandalone(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	deployment := flags.String("deployment", "tablehold", "example to run: tablehold or haddad")
	port := flags.Int("port", 7600, "first port on 127.0.0.1; 0 for any")
	level := flags.String("log", "warn", "lowest level that is logged")
	if err := parse(flags, args, "[flags]", 0, 0); err != nil {
		return err
	}
	example, err := examples.Get(*deployment)
	if err != nil {
		return usageError{err.Error()}
	}
	logger, err := log.New(c.lines, *level, "standalone")
	if err != nil {
		return usageError{"-log: " + err.Error()}
	}
	c.signals.use(logger)
	return c.standalone(ctx, example, *port, logger)
}

func (c console) standalone(ctx context.Context, example examples.Example, port int, logger log.Logger) error {
	workers, problems := standin.ParseFleet(example.Name+"-fleet.toml", example.Fleet)
	if err := problems.Err(); err != nil {
		return err
	}
	s, err := standin.Start(standin.Options{Address: "127.0.0.1:0"}, workers)
	if err != nil {
		return err
	}
	defer s.Close(context.WithoutCancel(ctx))
	var daemons []*daemon.Daemon
	defer func() {
		for _, d := range daemons {
			d.Stop()
		}
	}()
	for n := range standaloneEntries {
		dataCenter := workers[n*len(workers)/standaloneEntries].DataCenter
		d, err := startEntry(ctx, s, n, dataCenter, port, logger)
		if err != nil {
			return err
		}
		daemons = append(daemons, d)
	}
	if err := applyExample(ctx, daemons[0], example); err != nil {
		if ctx.Err() != nil {
			err = errors.Trace(ctx.Err())
		}
		return err
	}
	c.signals.serving(nil, nil)
	c.printStandalone(daemons, example, len(workers))
	<-ctx.Done()
	return nil
}

func startEntry(ctx context.Context, s *standin.RunningServer, n int, dataCenter string, port int, logger log.Logger) (*daemon.Daemon, error) {
	set := setting.Default()
	set.Entry = setting.Entry{Name: fmt.Sprintf("entry-%d", n+1), Hall: dataCenter, DataCenter: "local"}
	set.Listen = setting.Listen{Callers: loopback(port, n), Admin: loopback(port, n+10), Peers: loopback(port, n+20)}
	set.Platform.URL = "http://" + s.Address
	set.Peers.Insecure = true
	set.Limits.ShutdownDelay = 0
	set.Tokens = []setting.Token{{Name: "operator", Secret: standaloneToken}}
	s.Server.Platform.SetEntry(set.Entry.Name, true)
	return daemon.Start(ctx, set, logger)
}

// loopback returns an address on 127.0.0.1; with a first port of 0 the system chooses the port.
func loopback(first, n int) string {
	if first == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", first+n)
}

func applyExample(ctx context.Context, d *daemon.Daemon, example examples.Example) error {
	file, problems := manifest.Parse(example.Name+".toml", example.Manifest)
	if err := problems.Err(); err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	_, err := d.Entry.Rollout.Apply(bounded, rollout.Request{File: file, Operator: "standalone", AllowShortage: true})
	return errors.Annotatef(err, "applying %s", example.Name)
}

func (c console) printStandalone(daemons []*daemon.Daemon, example examples.Example, workers int) {
	c.printLine("deployment %s runs with %d workers and %d entries:", example.Name, workers, len(daemons))
	for _, d := range daemons {
		c.printLine("  %s  callers http://%s  administration %s", d.Entry.Settings.Entry.Name, d.CallerAddress, d.AdminAddress)
	}
	c.printLine("")
	c.printLine("try next, in another terminal:")
	c.printLine("  curl -i 'http://%s/s/%s/hello?work=5ms'", daemons[0].CallerAddress, example.Service)
	c.printLine("  go run . status -server %s -token %s", daemons[0].AdminAddress, standaloneToken)
	c.printLine("  go run . plan -server %s -token %s examples/%s.toml", daemons[1].AdminAddress, standaloneToken, example.Name)
}
