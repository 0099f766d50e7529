// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"flag"
	"net/http"

	"github.com/yardbridge/yardbridge/routers/apiv1"
)

// runGet prints declared objects or instances.
func runGet(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	api := clientFlags(flags)
	if err := parse(flags, args, "[flags] objects|instances|KIND/NAME", 1, 1); err != nil {
		return err
	}
	switch what := flags.Arg(0); what {
	case "objects":
		return getObjects(ctx, c, api)
	case "instances":
		return getInstances(ctx, c, api)
	default:
		data, err := api.call(ctx, http.MethodGet, "/objects/"+what, nil)
		if err != nil {
			return err
		}
		c.printLine("%s", data)
		return nil
	}
}

func getObjects(ctx context.Context, c console, api *client) error {
	o, data, err := fetch[apiv1.ObjectList](ctx, api, http.MethodGet, "/objects", nil)
	if err != nil {
		return err
	}
	api.print(c, data, func() {
		c.printLine("version %d", o.Version)
		for _, object := range o.Objects {
			c.printLine("  %s", object.Ref())
		}
	})
	return nil
}

func getInstances(ctx context.Context, c console, api *client) error {
	rows, data, err := fetch[[]apiv1.InstanceStatus](ctx, api, http.MethodGet, "/instances", nil)
	if err != nil {
		return err
	}
	api.print(c, data, func() {
		c.printLine("%-16s %-14s %-10s %-8s %-12s %-10s %s", "WORKER", "POOL", "HALL", "RACK", "PHASE", "CONDITION", "ADDRESS")
		for _, r := range rows {
			c.printLine("%-16s %-14s %-10s %-8s %-12s %-10s %s", r.Worker, r.Pool, r.DataCenter, r.Rack, r.Phase, r.Condition, r.Address)
		}
	})
	return nil
}
