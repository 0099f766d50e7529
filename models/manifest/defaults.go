// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package manifest

import (
	"net/http"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// The defaults of omitted values.
const (
	DefaultDeadline    = 2 * time.Second
	DefaultQueueLength = 128
	DefaultRunTime     = time.Minute
	DefaultShare       = 1.0
	DefaultPeriod      = 6 * 7 * 24 * time.Hour
)

func (f *File) setDefaults() {
	for i := range f.Customers {
		if o := &f.Customers[i]; o.Share == 0 {
			o.Share = DefaultShare
		}
	}
	for i := range f.Pools {
		p := &f.Pools[i]
		if p.FailureDomain == "" {
			p.FailureDomain = DomainRack
		}
	}
	for i := range f.Services {
		f.Services[i].setDefaults()
	}
	for i := range f.Jobs {
		j := &f.Jobs[i]
		if j.Class == "" {
			j.Class = Batch
		}
		if j.RunTime == 0 {
			j.RunTime = tomlfile.Duration(DefaultRunTime)
		}
	}
	for i := range f.Maintenance {
		m := &f.Maintenance[i]
		if m.Period == 0 {
			m.Period = tomlfile.Duration(DefaultPeriod)
		}
	}
}

func (s *Service) setDefaults() {
	if s.Class == "" {
		s.Class = Interactive
	}
	if s.Deadline == 0 {
		s.Deadline = tomlfile.Duration(DefaultDeadline)
	}
	if s.QueueLength == 0 {
		s.QueueLength = DefaultQueueLength
	}
	if s.Repeatable == nil {
		s.Repeatable = []string{http.MethodGet, http.MethodHead}
	}
}
