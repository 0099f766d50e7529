// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"strconv"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// operatorsAt is where operators write, and toldAt where they read.
var (
	operatorsAt = port.Partition{Topic: "model.operators"}
	toldAt      = port.Partition{Topic: "model.told"}
)

const (
	keyConfig = "config"
	keyWave   = "wave"
)

// written is a configuration as an operator writes it here.
type written struct {
	Version   uint64
	Queues    []config.Queue
	Pools     []config.Pool
	Limits    config.Limits
	Customers []config.Customer
}

func encodeWorker(w worker.Worker) []byte { return encode(w) }

func encode(v any) []byte {
	data, err := codec.Marshal(v)
	if err != nil {
		panic(err) // the types above can be encoded
	}
	return data
}

// Configure writes a configuration as an operator.
func (w *World) Configure(version uint64, queues []config.Queue, pools []config.Pool, customers ...config.Customer) {
	w.mu.Lock()
	w.setLimits(customers)
	w.mu.Unlock()
	limits := config.Limits{BodyBytes: 1 << 20, HeaderBytes: 1 << 14}
	w.Write(operatorsAt, port.Record{Key: keyConfig, Value: encode(written{version, queues, pools, limits, customers})})
}

// RequestWave writes a wave as an operator.
func (w *World) RequestWave(v wave.Wave) {
	w.mu.Lock()
	w.waves[v.Number] = &waveWork{v.MaxConcurrent, v.Instances, make(map[string]bool)}
	w.mu.Unlock()
	w.Write(operatorsAt, port.Record{Key: keyWave, Value: encode(v)})
}

// Feeds returns what operators and workers write, as the services read it.
func (w *World) Feeds() port.Feeds {
	return port.Feeds{
		Operators: operatorsAt, Workers: workersAt,
		DecodeConfig: func(r port.Record) (*config.Config, error) {
			if r.Key != keyConfig {
				return nil, nil
			}
			var c written
			err := codec.Unmarshal(r.Value, &c)
			return config.New(c.Version, c.Queues, c.Pools, c.Limits).WithCustomers(c.Customers), err
		},
		DecodeWave: func(r port.Record) (wave.Wave, bool, error) {
			var v wave.Wave
			if r.Key != keyWave {
				return v, false, nil
			}
			return v, true, codec.Unmarshal(r.Value, &v)
		},
		DecodeWorker: func(r port.Record) (worker.Worker, error) {
			var v worker.Worker
			return v, codec.Unmarshal(r.Value, &v)
		},
		ReportWave: func(ctx context.Context, s port.Store, number int, done bool) error {
			if done {
				w.checkWave(number)
			}
			return s.Put(ctx, toldAt, []port.Record{{Key: strconv.Itoa(number), Value: encode(done)}})
		},
	}
}

// WaveReported reports whether a wave was told as done.
func (w *World) WaveReported(number int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var done bool
	r, told := w.partition(toldAt).newest[strconv.Itoa(number)]
	return told && codec.Unmarshal(r.Value, &done) == nil && done
}

// checkWave checks that a wave that is said to be done is.
func (w *World) checkWave(number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range w.waves[number].asked {
		if w.instances[name] != nil && !w.waves[number].begun[name] {
			w.broken("MIXED: wave %d is told as done and %s has not begun", number, name)
		}
	}
}
