// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cmd implements the subcommands of yardbridge, one in each file.
package cmd
