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
	Operators Partition // configuration, waves and evacuations
	Workers   Partition // each worker's own status, under its name
	// DecodeConfig returns nil for a record that is not a configuration.
	DecodeConfig func(Record) (*config.Config, error)
	// DecodeWave returns false for a record that is not a wave.
	DecodeWave func(Record) (wave.Wave, bool, error)
	// DecodeEvacuation returns the data centre that is evacuated, "" for a record that is not an
	// evacuation. A record without a value ends the evacuation.
	DecodeEvacuation func(Record) (dataCenter string, err error)
	DecodeWorker     func(Record) (worker.Worker, error)
	// ReportWave reports to the operators that a wave is running or done.
	ReportWave func(ctx context.Context, s Store, number int, done bool) error
}
