// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tlsconf provides the mutual TLS configuration between entries from key files,
// which are reloaded when they change.
package tlsconf
