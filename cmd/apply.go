// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/services/pools"
	"github.com/yardbridge/yardbridge/services/rollout"
)

// fileFlags are the flags of plan and apply.
type fileFlags struct {
	base  int64
	short bool
}

func defineFileFlags(flags *flag.FlagSet) *fileFlags {
	f := &fileFlags{}
	flags.Int64Var(&f.base, "base", -1, "version that the file was written against (default: the newest)")
	flags.BoolVar(&f.short, "short", false, "accept a file that requires more instances than there are")
	return f
}

// send sends a declarative file to an endpoint of the API.
func (f *fileFlags) send(ctx context.Context, api *client, action, name string) (rollout.Result, []byte, error) {
	data, err := readFile(ctx, name)
	if err != nil {
		return rollout.Result{}, nil, err
	}
	query := url.Values{"file": {name}}
	if f.base >= 0 {
		query.Set("base", strconv.FormatInt(f.base, 10))
	}
	if f.short {
		query.Set("short", "true")
	}
	return fetch[rollout.Result](ctx, api, http.MethodPost, "/"+action+"?"+query.Encode(), data)
}

// runApply applies a file.
func runApply(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	api, file := clientFlags(flags), defineFileFlags(flags)
	if err := parse(flags, args, "[flags] FILE", 1, 1); err != nil {
		return err
	}
	result, data, err := file.send(ctx, api, "apply", flags.Arg(0))
	if err != nil {
		return err
	}
	api.print(c, data, func() {
		c.printLine("version %d, %d objects changed", result.Version, len(result.Changed))
		printPreview(c, result)
		if result.InForce {
			c.printLine("in force on every entry")
		} else {
			c.printLine("accepted, but not yet in force on: %s", strings.Join(result.Lagging, ", "))
		}
	})
	return nil
}

// runPlan shows what a file would change.
func runPlan(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	api, file := clientFlags(flags), defineFileFlags(flags)
	if err := parse(flags, args, "[flags] FILE", 1, 1); err != nil {
		return err
	}
	result, data, err := file.send(ctx, api, "plan", flags.Arg(0))
	if err != nil {
		return err
	}
	api.print(c, data, func() {
		c.printLine("against version %d", result.Version)
		printPreview(c, result)
		printCalendar(c, result.Calendar)
	})
	return nil
}

func printPreview(c console, r rollout.Result) {
	for _, o := range r.Changed {
		c.printLine("  changes %s", o)
	}
	for _, m := range r.Preview.Moves {
		c.printLine("  moves   %s from %s to %s", m.Worker, m.From, m.To)
	}
	for _, s := range r.Preview.Shortages {
		c.printLine("  short   pool %s: %d of %d (%s)", s.Pool, s.Present, s.Wanted, s.Reason)
	}
	c.printLine("  %d moves; %d instances beyond what must stay available", len(r.Preview.Moves), r.Preview.Buffer)
}

// calendarRows is the number of racks of the calendar that are printed as text; -json has all of
// them.
const calendarRows = 12

func printCalendar(c console, calendar []pools.RackDue) {
	if len(calendar) == 0 {
		return
	}
	c.printLine("  maintenance, by rack:")
	for _, d := range calendar[:min(calendarRows, len(calendar))] {
		c.printLine("    %s %s: %d instances, from %s, by %s", d.DataCenter, d.Rack, d.Instances, formatTime(d.From), formatTime(d.By))
	}
	if more := len(calendar) - calendarRows; more > 0 {
		c.printLine("    and %d more racks", more)
	}
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04") }
