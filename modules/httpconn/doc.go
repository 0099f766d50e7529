// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpconn calls one HTTP/1.1 address over few kept channels, with the
// request and response of net/http and without its goroutines: a call costs one
// write and one read, and its outcome is known exactly.
package httpconn
