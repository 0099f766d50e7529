// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package oncekey parses the keys under which something runs at most once. A key contains
// its own expiry time, so that it can be forgotten safely.
package oncekey
