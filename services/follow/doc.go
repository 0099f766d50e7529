// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package follow reads one partition of the store under keys and hands on what
// changes there.
package follow
