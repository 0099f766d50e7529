// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/entry"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/routers/daemon"
)

// replacedPeriod is how often an entry checks whether it was replaced.
const replacedPeriod = time.Second

// runServe runs an entry until SIGTERM or SIGINT; SIGUSR1 writes a dump to the standard output.
func runServe(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
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
	s, problems := setting.Parse(*path, string(data))
	if err := problems.Err(); err != nil {
		return err
	}
	logger, err := log.New(c.lines, s.Log.Level, s.Entry.Name)
	if err != nil {
		return errors.Trace(err)
	}
	c.signals.use(logger)
	d, err := daemon.Start(ctx, s, logger)
	if err != nil {
		return err
	}
	c.signals.serving(func() { reloadEntry(ctx, d, *path) }, func() { c.writeDump(d) })
	c.printLine("entry %s serves callers at %s, administration at %s, peers at %s",
		s.Entry.Name, d.CallerAddress, d.AdminAddress, d.Entry.Settings.Listen.Peers)
	return c.serveUntil(ctx, d)
}

// serveUntil waits until the entry is stopped, or until the platform has replaced it.
func (c console) serveUntil(ctx context.Context, d *daemon.Daemon) error {
	ticker := time.NewTicker(replacedPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.Stop()
			return nil
		case <-ticker.C:
			if d.Entry.Ledger.Removed() {
				d.Kill()
				return errors.Trace(entry.ErrReplaced)
			}
		}
	}
}

// reloadEntry reads the settings of an entry again; if they are invalid, the known settings stay in
// force.
func reloadEntry(ctx context.Context, d *daemon.Daemon, path string) {
	logger := d.Entry.Logger
	data, err := readSettings(ctx, path)
	if err != nil {
		logger.Error().Str("event", "reload").Str("outcome", "kept").Err(err).Msg("the settings can't be read; the known settings stay in force")
		return
	}
	s, problems := setting.Parse(path, string(data))
	if err := problems.Err(); err != nil {
		logger.Error().Str("event", "reload").Str("outcome", "kept").Err(err).Msg("invalid settings; the known settings stay in force")
		return
	}
	restart := d.Reload(s)
	logger.Info().Str("event", "reload").Str("outcome", "in force").Strs("restart_needed", restart).Msg("newer settings are applied")
}

func (c console) writeDump(d *daemon.Daemon) {
	data, err := json.Marshal(d.Entry.Dump())
	if err != nil {
		c.printError(err.Error())
		return
	}
	c.printLine("%s", data)
}
