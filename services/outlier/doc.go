// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package outlier ejects targets that fail, and tests them again with single requests.
package outlier
