// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform defines the ports to the platform: its log, its instance list and its workers.
// The ports are structs of functions, which adapters and tests fill.
package platform
