// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package capacity describes how much capacity a pool has and will have over the next seconds, as
// immutable values without I/O.
package capacity
