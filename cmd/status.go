// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"flag"
	"net/http"
	"strings"

	"github.com/yardbridge/yardbridge/routers/apiv1"
)

// runStatus prints the status of the system as an entry sees it.
func runStatus(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	api := clientFlags(flags)
	if err := parse(flags, args, "[flags]", 0, 0); err != nil {
		return err
	}
	s, data, err := fetch[apiv1.Status](ctx, api, http.MethodGet, "/status", nil)
	if err != nil {
		return err
	}
	api.print(c, data, func() { printStatus(c, s) })
	return nil
}

func printStatus(c console, s apiv1.Status) {
	c.printLine("entry %s  ready: %s  offset %d  version %d", s.Entry, s.Ready, s.Offset, s.Version)
	c.printLine("roster: %s", strings.Join(s.Members, ", "))
	c.printLine("%-20s %6s %8s %8s %10s %6s", "POOL", "SIZE", "PRESENT", "SERVING", "MUST STAY", "SPARE")
	for _, p := range s.Pools {
		c.printLine("%-20s %6d %8d %8d %10d %6d", p.Pool, p.Size, p.Present, p.Serving, p.Available, p.Spare)
	}
	for _, h := range s.Shortages {
		c.printLine("short: pool %s has %d of %d: %s", h.Pool, h.Present, h.Wanted, h.Reason)
	}
	for _, b := range s.Blocked {
		c.printLine("maintenance waits: %s in pool %s: %s", b.Worker, b.Pool, b.Reason)
	}
}
