// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command yardbridge is a fleet capacity and maintenance manager.
package main

import (
	"os"

	"github.com/yardbridge/yardbridge/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
