// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

//go:build !linux

package clock

import (
	"errors"
	"time"
)

// SinceBoot returns an error: this system is not asked for the time for which it was
// suspended.
func SinceBoot() (time.Duration, error) {
	return 0, errors.New("the time of suspensions is told on Linux only")
}
