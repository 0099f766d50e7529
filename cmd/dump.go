// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"flag"
	"net/http"
)

// runDump prints the state of an entry process.
func runDump(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	api := clientFlags(flags)
	if err := parse(flags, args, "[flags]", 0, 0); err != nil {
		return err
	}
	data, err := api.call(ctx, http.MethodGet, "/dump", nil)
	if err != nil {
		return err
	}
	c.printLine("%s", data)
	return nil
}
