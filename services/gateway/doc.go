// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway takes the calls of callers to the node that owns the pool
// which the call is about.
package gateway
