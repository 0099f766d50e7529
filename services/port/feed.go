// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
)

// Feeds are the partitions that the platform and its operators write, and the decoders of their
// records.
type Feeds struct {
	Operators Partition // configuration and waves
	Workers   Partition // each worker's own status, under its name
	// DecodeConfig returns nil for a record that is not a configuration.
	DecodeConfig func(Record) (*config.Config, error)
	// DecodeWave returns false for a record that is not a wave.
	DecodeWave   func(Record) (wave.Wave, bool, error)
	DecodeWorker func(Record) (worker.Worker, error)
	// ReportWave reports to the operators that a wave is running or done.
	ReportWave func(ctx context.Context, s Store, number int, done bool) error
}
