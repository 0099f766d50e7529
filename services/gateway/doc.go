// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway routes the calls of callers to the node that owns the pool that the call is
// about.
package gateway
