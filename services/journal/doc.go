// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package journal persists state under keys in one partition of the store, which has one process at
// a time as its writer.
package journal
