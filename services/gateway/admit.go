// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Authenticate returns the customer on whose behalf a call to a queue comes, "" for none, from the
// secret that it bears, if it bears one. A queue that does not take anyone takes calls with
// a key of the configuration only; the others are errors of the kind Unauthorized.
func (g *Gateway) Authenticate(c *config.Config, q *config.Queue, secret string, bears bool) (string, error) {
	var holder *config.Customer
	if bears {
		holder = c.CustomerByKey(secret)
	}
	switch {
	case holder != nil:
		return holder.Name, nil
	case q.AllowAnonymous:
		return "", nil
	case !bears:
		return "", errkind.New(errkind.Unauthorized, "queue %s takes calls with a customer's key only; the Authorization header must be: Bearer KEY", q.Name)
	}
	g.Logger.Info().Str("event", "key").Str("queue", q.Key()).Uint64("config", c.Version).Str("outcome", "unknown").
		Msg("a call bears a key that no customer holds")
	return "", errkind.New(errkind.Unauthorized, "the key is not known by version %d of the configuration", c.Version)
}
