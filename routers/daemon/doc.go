// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package daemon runs one entry process with its listeners: the entry, the address for callers and
// the address for administration.
package daemon
