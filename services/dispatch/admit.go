// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/bearer"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// keyring is the customers of one version of the catalog by the hashes of their keys.
type keyring struct {
	version uint64
	holders map[config.KeyHash]string
}

// keys returns the keyring of a catalog, which is made once for each version.
func (d *Dispatcher) keys(c state.Catalog) *keyring {
	if k := d.keyring.Load(); k != nil && k.version == c.Version {
		return k
	}
	k := &keyring{c.Version, make(map[config.KeyHash]string)}
	for _, o := range c.Live() {
		if o.Customer == nil {
			continue
		}
		for _, text := range o.Customer.Keys {
			var h config.KeyHash
			if err := h.UnmarshalText([]byte(text)); err != nil {
				d.Logger.Error().Str("event", "key").Str("customer", o.Customer.Name).Err(err).Str("outcome", "passed over").Msg("a key's sum can't be read")
				continue
			}
			k.holders[h] = o.Customer.Name
		}
	}
	d.keyring.Store(k)
	return k
}

// admit refuses a request without a customer's key to a service that takes no other.
func (c *call) admit(catalog state.Catalog) error {
	if !c.service.CustomersOnly {
		return nil
	}
	secret, bears := bearer.Secret(c.r)
	if !bears {
		return errkind.New(errkind.Unauthorized, "service %q takes requests with a customer's key only; the Authorization header must be: Bearer KEY", c.service.Name)
	}
	h, could := config.HashKey(secret)
	if name := c.d.keys(catalog).holders[h]; could && name != "" {
		c.r.Header.Del("Authorization") // the key is between the caller and the entry
		return nil
	}
	return errkind.New(errkind.Unauthorized, "the key is not known by version %d of the configuration", catalog.Version)
}
