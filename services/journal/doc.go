// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package journal keeps state under keys in one partition of the store, of which
// one process at a time is the writer.
package journal
