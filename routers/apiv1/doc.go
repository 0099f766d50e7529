// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package apiv1 implements the administration API; docs/API.md describes it.
package apiv1
