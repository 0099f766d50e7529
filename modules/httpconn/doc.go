// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpconn is an HTTP/1.1 client for one address with few persistent connections.
// It uses the request and response of net/http but not its goroutines: a call costs one
// write and one read, and it is known whether any part of a failed call can have been sent.
package httpconn
