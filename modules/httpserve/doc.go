// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpserve is an HTTP server with limits against slow and oversized input, and a
// graceful shutdown that loses no request.
package httpserve
