// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lending divides what each customer may have running over all pools among the
// pools, so that the sum of their allowances never is above the limit, whoever fails.
package lending
