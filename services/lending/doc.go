// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lending divides the amount that each customer may have running over all pools among the
// pools, so that the sum of their allowances never exceeds the limit, even after failures.
package lending
