// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written with its unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms", "4s" or "1h30m".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; allowed is a number with a unit, such as \"250ms\", \"4s\" or \"12h\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
