// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package once ensures that a keyed request is dispatched at most once: its key is claimed on the
// log first, and only the holder of the claim dispatches it.
package once
