// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
)

// Feeds say where in the store the platform and its operators write, and read
// what they write.
type Feeds struct {
	Operators Partition // configuration and waves
	Workers   Partition // what each worker says of itself, under its name
	// DecodeConfig returns nil for a record that is no configuration.
	DecodeConfig func(Record) (*config.Config, error)
	// DecodeWave returns false for a record that is no wave.
	DecodeWave   func(Record) (wave.Wave, bool, error)
	DecodeWorker func(Record) (worker.Worker, error)
	// ReportWave tells the operators that a wave runs or is done.
	ReportWave func(ctx context.Context, s Store, number int, done bool) error
}
