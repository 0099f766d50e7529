// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package state folds the platform's log into one immutable value. The fold is pure and
// deterministic: all processes that have folded the same records hold the same state, and accept or
// reject the same proposals.
package state
