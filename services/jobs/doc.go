// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package jobs decides where jobs run, starts each attempt once the log has accepted its placement,
// and tracks the attempts to their end.
package jobs
