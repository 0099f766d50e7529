// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

//go:build !linux

package clock

import (
	"errors"
	"time"
)

// SinceBoot returns an error, because the suspended time is not read on this system.
func SinceBoot() (time.Duration, error) {
	return 0, errors.New("the suspended time is available on Linux only")
}
