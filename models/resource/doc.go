// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package resource states what the roles of a node take of its limits, as pure functions.
package resource
