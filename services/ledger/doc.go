// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ledger folds the platform's log into the state and appends proposals to it in groups. A
// proposal counts only once it was read back.
package ledger
