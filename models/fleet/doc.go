// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet describes the platform's workers and their locations.
package fleet
