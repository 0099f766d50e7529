// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"fmt"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// FleetFile describes the workers of the stand-in.
type FleetFile struct {
	DataCenters []DataCenter `toml:"hall"`
}

// DataCenter is a data centre with identical racks of identical workers.
type DataCenter struct {
	Name           string `toml:"name"`
	Racks          int    `toml:"racks"`
	WorkersPerRack int    `toml:"workers_per_rack"`
	Kind           string `toml:"kind"`
	Cores          int    `toml:"cores"`
	MemoryGB       int    `toml:"memory_gb"`
	Accelerators   int    `toml:"accelerators"`
	Slots          int    `toml:"slots"`
	Connections    int    `toml:"connections"`
}

// ParseFleet parses a fleet file.
func ParseFleet(name, data string) ([]fleet.Worker, tomlfile.Problems) {
	var f FleetFile
	problems, _ := tomlfile.Decode(name, data, &f)
	if len(problems) > 0 {
		return nil, problems
	}
	var workers []fleet.Worker
	for _, h := range f.DataCenters {
		workers = append(workers, h.workers()...)
	}
	return workers, nil
}

func (h DataCenter) workers() []fleet.Worker {
	var workers []fleet.Worker
	for rack := 1; rack <= h.Racks; rack++ {
		for n := 1; n <= h.WorkersPerRack; n++ {
			workers = append(workers, fleet.Worker{
				ID:           fmt.Sprintf("%s-r%d-w%d", h.Name, rack, n),
				DataCenter:   h.Name,
				Rack:         fmt.Sprintf("r%d", rack),
				Kind:         h.Kind,
				Cores:        h.Cores,
				MemoryGB:     h.MemoryGB,
				Accelerators: h.Accelerators,
				Slots:        h.Slots,
				Connections:  h.Connections,
				Condition:    fleet.Live,
			})
		}
	}
	return workers
}
