// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting reads the settings of a process once, at its start, and rejects unknown,
// missing and conflicting ones.
package setting
