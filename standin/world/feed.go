// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// The operators write operatorsPartition, and read in wavesPartition which waves are done.
var (
	operatorsPartition = port.Partition{Topic: "model.operators"}
	wavesPartition     = port.Partition{Topic: "model.told"}
)

const (
	keyConfig = "config"
	keyWave   = "wave"

	evacuationPrefix = "evacuate/"
)

// configRecord is a configuration as the model's operators write it.
type configRecord struct {
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
		panic(err) // all types passed to encode can be encoded
	}
	return data
}

// Configure writes a configuration as an operator.
func (w *World) Configure(version uint64, queues []config.Queue, pools []config.Pool, customers ...config.Customer) {
	w.mu.Lock()
	w.setLimits(customers)
	w.mu.Unlock()
	limits := config.Limits{BodyBytes: 1 << 20, HeaderBytes: 1 << 14}
	w.Write(operatorsPartition, port.Record{Key: keyConfig, Value: encode(configRecord{version, queues, pools, limits, customers})})
}

// RequestWave writes a wave as an operator.
func (w *World) RequestWave(v wave.Wave) {
	w.mu.Lock()
	w.waves[v.Number] = &waveState{v.MaxConcurrent, v.Instances, make(map[string]bool)}
	w.mu.Unlock()
	w.Write(operatorsPartition, port.Record{Key: keyWave, Value: encode(v)})
}

// evacuationBound is how long after its acknowledgement an evacuation may not be in force yet.
const evacuationBound = 5 * time.Second

// Evacuate puts a data centre under evacuation as an operator.
func (w *World) Evacuate(dataCenter string) {
	w.Write(operatorsPartition, port.Record{Key: evacuationPrefix + dataCenter, Value: []byte("{}")})
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evacuations[dataCenter].IsZero() {
		w.evacuations[dataCenter] = time.Now()
	}
}

// EndEvacuation takes an evacuation back as an operator.
func (w *World) EndEvacuation(dataCenter string) {
	w.mu.Lock()
	delete(w.evacuations, dataCenter)
	w.mu.Unlock()
	w.Write(operatorsPartition, port.Record{Key: evacuationPrefix + dataCenter})
}

// checkEvacuation checks that a worker on which a task starts is not in a data centre under
// evacuation, unless its node may not know of that. The caller holds w.mu.
func (w *World) checkEvacuation(node string, o *Worker, task string) {
	since := w.evacuations[o.info.DataCenter]
	if since.IsZero() || time.Since(since) < evacuationBound || w.mayBeUnread(since) || w.fault(node).isolated() {
		return
	}
	w.violation("EVAC: %s starts %s on %s %s after the evacuation of %s", node, task, o.info.ID, time.Since(since), o.info.DataCenter)
}

// Feeds returns the records that operators and workers write, as the services read them.
func (w *World) Feeds() port.Feeds {
	return port.Feeds{
		Operators: operatorsPartition, Workers: workersPartition,
		DecodeConfig: func(r port.Record) (*config.Config, error) {
			if r.Key != keyConfig {
				return nil, nil
			}
			var c configRecord
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
		DecodeEvacuation: func(r port.Record) (string, error) {
			dataCenter, isEvacuation := strings.CutPrefix(r.Key, evacuationPrefix)
			if !isEvacuation {
				return "", nil
			}
			return dataCenter, nil
		},
		DecodeWorker: func(r port.Record) (worker.Worker, error) {
			var v worker.Worker
			return v, codec.Unmarshal(r.Value, &v)
		},
		ReportWave: func(ctx context.Context, s port.Store, number int, done bool) error {
			if done {
				w.checkWave(number)
			}
			return s.Put(ctx, wavesPartition, []port.Record{{Key: strconv.Itoa(number), Value: encode(done)}})
		},
	}
}

// WaveReported reports whether a wave was reported as done.
func (w *World) WaveReported(number int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var done bool
	r, found := w.partition(wavesPartition).newest[strconv.Itoa(number)]
	return found && codec.Unmarshal(r.Value, &done) == nil && done
}

// checkWave checks that a wave that is reported as done is done.
func (w *World) checkWave(number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range w.waves[number].instances {
		if w.instances[name] != nil && !w.waves[number].started[name] {
			w.violation("MIXED: wave %d is reported as done and %s has not started", number, name)
		}
	}
}
