// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package signals asks for the signals of a process before anything else is set
// up: from then on none of them ends the process by the system's default. It needs
// few packages, so that it comes before most others, whose setting up takes the
// greater part of a program's first milliseconds.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// The signals that this process has got and nobody has taken yet, from the setting
// up of this package until the process ends.
var (
	Hangups = take(syscall.SIGHUP)
	Stops   = take(syscall.SIGTERM, syscall.SIGINT)
	Dumps   = take(syscall.SIGUSR1)
)

// waiting is how many signals of a kind are kept until they are taken; those beyond
// are one with the last, as the system itself holds it with signals that wait.
const waiting = 64

// take asks for signals. Each kind has a channel of its own, so that a series of one
// takes no place of another.
func take(list ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, waiting)
	signal.Notify(c, list...)
	return c
}

// IgnoreSIGPIPE has a write to an output whose reader has gone fail, and not end the
// process.
func IgnoreSIGPIPE() { signal.Ignore(syscall.SIGPIPE) }
