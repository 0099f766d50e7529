// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package caller serves the HTTP interface for callers and for the load balancer.
package caller
