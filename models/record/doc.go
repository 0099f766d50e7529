// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package record holds the typed proposals that entries append to the platform's log, and their
// encoding.
package record
