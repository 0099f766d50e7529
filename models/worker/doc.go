// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package worker describes the workers that run tasks, what they say of
// themselves and of what they run.
package worker
