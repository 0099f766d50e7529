// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package snapshots writes the folded state to the log well before the log drops the records that
// the state results from.
package snapshots
