// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package errkind defines the closed list of error kinds and the HTTP response for each
// kind.
package errkind
