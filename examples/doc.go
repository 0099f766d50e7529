// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package examples holds the declarative files and fleets of two deployments.
package examples
