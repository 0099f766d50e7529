// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package runtimeusage reads what the Go runtime of this process uses.
package runtimeusage
