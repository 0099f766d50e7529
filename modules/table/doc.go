// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package table provides an immutable sorted map whose zero value is empty.
package table
