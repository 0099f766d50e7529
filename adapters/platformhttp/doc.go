// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platformhttp calls the platform over HTTP.
package platformhttp
