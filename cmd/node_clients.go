// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/httpconn"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/ratelimit"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/platform"
	"github.com/yardbridge/yardbridge/services/measure"
)

// platformClients creates clients of the platform that report unresponsive channels.
type platformClients struct {
	meter  *measure.Meter
	logger log.Logger
}

// to returns a client of an address whose calls are counted under the name of a destination.
func (c platformClients) to(name, address string) *httpconn.Client {
	found, repeated := c.meter.Channels(name)
	identified := func() { c.meter.Count("channel." + name + ".identified") }
	return &httpconn.Client{Address: address, OnRetry: repeated, OnIdentify: identified, OnUnresponsive: func(n int, after time.Duration) {
		found(n, after)
		c.logger.Warn().Str("event", "silent").Str("to", name).Str("address", address).Int("channels", n).Dur("after", after).
			Msg("unresponsive channels are closed: a new channel has responded to what got no response on them")
	}}
}

// instances returns the instance control at an address. Rows of its list that can't be parsed are
// counted, and only the first is logged, since the list is read several times a second.
func (c platformClients) instances(s setting.NodePlatform) *platform.Instances {
	var first sync.Once
	return &platform.Instances{Client: c.to("instances", s.Instances), Readings: ratelimit.Limiter{PerSecond: s.InstanceReadings}, OnUnreadable: func(err error) {
		c.meter.Count("instances.unread")
		first.Do(func() {
			c.logger.Error().Str("event", "instances").Err(err).Str("outcome", "passed over").Msg("a row of the instance list can't be parsed")
		})
	}}
}
