// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Authenticate returns the customer on whose behalf a call to a queue is made, "" for none, from
// the secret of the call, if it has one. A queue that is not open to anyone accepts only calls with
// a key of the configuration; other calls get an error of the kind Unauthorized.
func (g *Gateway) Authenticate(c *config.Config, q *config.Queue, secret string, hasSecret bool) (string, error) {
	var holder *config.Customer
	if hasSecret {
		holder = c.CustomerByKey(secret)
	}
	switch {
	case holder != nil:
		return holder.Name, nil
	case q.AllowAnonymous:
		return "", nil
	case !hasSecret:
		return "", errkind.New(errkind.Unauthorized, "queue %s accepts calls with a customer's key only; the Authorization header must be: Bearer KEY", q.Name)
	}
	g.Logger.Info().Str("event", "key").Str("queue", q.Key()).Uint64("config", c.Version).Str("outcome", "unknown").
		Msg("call with a key that belongs to no customer")
	return "", errkind.New(errkind.Unauthorized, "the key is not known by version %d of the configuration", c.Version)
}
