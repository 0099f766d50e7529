// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"io"

	"github.com/rs/zerolog"
)

// Logger is the logger that all packages use; its zero value discards everything.
type Logger = zerolog.Logger

// New returns a logger that writes JSON lines of at least the given level, which is one of
// debug, info, warn and error; an empty level is info.
func New(w io.Writer, level, process string) (Logger, error) {
	l := zerolog.InfoLevel
	if level != "" {
		parsed, err := zerolog.ParseLevel(level)
		if err != nil {
			return Nop(), err
		}
		l = parsed
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(l).With().Timestamp().Str("process", process).Logger(), nil
}

// Nop returns a logger that discards everything.
func Nop() Logger { return zerolog.Nop() }
