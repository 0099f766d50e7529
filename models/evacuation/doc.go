// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package evacuation describes which data centres the operators have under evacuation.
package evacuation
