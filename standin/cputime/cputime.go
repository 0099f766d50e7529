// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cputime measures the processor time of a call, for tests that bound what a computation costs: unlike
// the wall clock, it does not count the time in which the machine does something else.
package cputime

import (
	"runtime"
	"syscall"
	"time"
)

// Of returns the processor time that the calling thread spends in a call. Goroutines that the call starts are
// not counted.
func Of(call func()) (time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before, err := ofThread()
	if err != nil {
		return 0, err
	}
	call()
	after, err := ofThread()
	return after - before, err
}

// ofThread returns the processor time that the calling thread has spent.
func ofThread() (time.Duration, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &r); err != nil {
		return 0, err
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
