// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

//go:build !linux

package httpserve

import "net"

// setReadBuffer leaves the receive buffers as the system sets them.
func setReadBuffer(*net.TCPListener, int) error { return nil }
