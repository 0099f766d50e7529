// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting parses the settings of a process and rejects unknown, missing and
// conflicting ones.
package setting
