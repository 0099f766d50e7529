// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"time"

	"github.com/yardbridge/yardbridge/modules/httpconn"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/measure"
)

// clients makes clients of the platform that tell of channels found silent.
type clients struct {
	meter  *measure.Meter
	logger log.Logger
}

// to returns a client of an address, which counts under the name of a destination.
func (c clients) to(name, address string) *httpconn.Client {
	found, repeated := c.meter.Channels(name)
	return &httpconn.Client{Address: address, Repeated: repeated, Found: func(n int, after time.Duration) {
		found(n, after)
		c.logger.Warn().Str("event", "silent").Str("to", name).Str("address", address).Int("channels", n).Dur("after", after).
			Msg("channels had fallen silent and are closed: a fresh one has answered what got no answer on them")
	}}
}
