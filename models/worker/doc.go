// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package worker describes the workers that run tasks, and what they report of themselves and of
// their runs.
package worker
