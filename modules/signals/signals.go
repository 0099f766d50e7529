// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package signals subscribes to the signals of a process before anything else is
// initialized: from then on none of them ends the process by default. It imports few
// packages, so that it is initialized before most others, which take the greater part of a
// program's first milliseconds.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals received by this process and not handled yet, from the initialization of this
// package until the process ends.
var (
	Hangups = subscribe(syscall.SIGHUP)
	Stops   = subscribe(syscall.SIGTERM, syscall.SIGINT)
	Dumps   = subscribe(syscall.SIGUSR1)
)

// bufferSize is how many signals of a kind are buffered; further ones are merged with the
// last, as the kernel does with pending signals.
const bufferSize = 64

// subscribe subscribes to signals. Each kind has its own channel, so that many signals of
// one kind do not displace another.
func subscribe(list ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, bufferSize)
	signal.Notify(c, list...)
	return c
}

// IgnoreSIGPIPE makes a write to an output whose reader has gone fail instead of ending the
// process.
func IgnoreSIGPIPE() { signal.Ignore(syscall.SIGPIPE) }
