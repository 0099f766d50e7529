// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ownership ensures that every pool has an owner and that this node owns its share of the
// pools.
package ownership
