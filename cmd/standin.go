// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"flag"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/standin"
)

// runStandin runs the stand-in until SIGTERM or SIGINT.
func runStandin(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	var o standin.Options
	flags.StringVar(&o.Address, "listen", "127.0.0.1:7700", "IP and port")
	flags.DurationVar(&o.Lag, "lag", 500*time.Millisecond, "delay of the instance list")
	flags.DurationVar(&o.BootTime, "boot", 2*time.Second, "how long a reboot takes")
	flags.DurationVar(&o.Retention, "retention", 24*time.Hour, "how long the log keeps records")
	file := flags.String("fleet", "", "file with the workers")
	if err := parse(flags, args, "-fleet FILE [flags]", 0, 0); err != nil {
		return err
	}
	if *file == "" {
		return usageError{"-fleet is missing"}
	}
	data, err := readFile(ctx, *file)
	if err != nil {
		return err
	}
	workers, problems := standin.ParseFleet(*file, string(data))
	if err := problems.Err(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}
	r, err := standin.Start(o, workers)
	if err != nil {
		return err
	}
	c.signals.serving(nil, nil)
	c.printLine("stand-in with %d workers at %s", len(workers), r.Address)
	<-ctx.Done()
	return r.Stop(context.WithoutCancel(ctx))
}
