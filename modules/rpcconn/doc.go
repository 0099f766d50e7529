// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rpcconn keeps one jsonrpc2 connection to each called address, and serves incoming
// connections.
package rpcconn
