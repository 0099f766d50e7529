// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package noderpc transports calls between nodes over jsonrpc2 on TCP.
package noderpc
