// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/httpconn"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/platform"
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
	return &httpconn.Client{Address: address, OnRetry: repeated, OnUnresponsive: func(n int, after time.Duration) {
		found(n, after)
		c.logger.Warn().Str("event", "silent").Str("to", name).Str("address", address).Int("channels", n).Dur("after", after).
			Msg("channels had fallen silent and are closed: a fresh one has answered what got no answer on them")
	}}
}

// instances returns the control of instances at an address. Rows of its list that can't
// be read are counted, and the first is logged: the list is read eight times a second.
func (c clients) instances(address string) *platform.Instances {
	var first sync.Once
	return &platform.Instances{Client: c.to("instances", address), OnUnreadable: func(err error) {
		c.meter.Count("instances.unread")
		first.Do(func() {
			c.logger.Error().Str("event", "instances").Err(err).Str("outcome", "passed over").Msg("a row of the list of instances can't be read")
		})
	}}
}
