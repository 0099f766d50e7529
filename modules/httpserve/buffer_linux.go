// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	"net"

	"golang.org/x/sys/unix"
)

// setReadBuffer sets the receive buffers of the connections that a listener is to accept: bytes that arrive before the
// connection is accepted take memory too.
func setReadBuffer(l *net.TCPListener, size int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	if err != nil {
		return err
	}
	return set
}
