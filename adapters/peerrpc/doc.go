// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peerrpc transports the messages between entries over jsonrpc2 on TCP, with mutual TLS
// unless the settings disable it.
package peerrpc
