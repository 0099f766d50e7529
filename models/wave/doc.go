// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package wave describes the operators' waves of maintenance.
package wave
