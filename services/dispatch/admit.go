// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/bearer"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// customerKeys returns the customers of a catalog by their keys, which are parsed once for each
// version of the catalog.
func (d *Dispatcher) customerKeys(c state.Catalog) *config.Config {
	if known := d.keys.Load(); known != nil && known.Version == c.Version {
		return known
	}
	var list []config.Customer
	for _, o := range c.Active() {
		if o.Customer != nil {
			list = append(list, config.Customer{Name: o.Customer.Name, Keys: d.keyHashes(o.Customer)})
		}
	}
	read := (&config.Config{Version: c.Version}).WithCustomers(list)
	d.keys.Store(read)
	return read
}

// keyHashes returns the hashes of a customer's keys. Hashes that can't be parsed are logged and
// skipped.
func (d *Dispatcher) keyHashes(o *manifest.Customer) []config.KeyHash {
	var list []config.KeyHash
	for _, text := range o.Keys {
		var h config.KeyHash
		if err := h.UnmarshalText([]byte(text)); err != nil {
			d.Logger.Error().Str("event", "key").Str("customer", o.Name).Err(err).Str("outcome", "passed over").Msg("the hash of a customer key can't be parsed")
			continue
		}
		list = append(list, h)
	}
	return list
}

// checkCustomerKey rejects a request without a valid customer key to a service that requires one.
func (c *call) checkCustomerKey(catalog state.Catalog) error {
	if !c.service.CustomersOnly {
		return nil
	}
	secret, hasSecret := bearer.Secret(c.r)
	if !hasSecret {
		return errkind.New(errkind.Unauthorized, "service %q accepts requests with a customer's key only; the Authorization header must be: Bearer KEY", c.service.Name)
	}
	if c.d.customerKeys(catalog).CustomerByKey(secret) != nil {
		c.r.Header.Del("Authorization") // the key is not passed on to the target
		return nil
	}
	return errkind.New(errkind.Unauthorized, "the key is not known by version %d of the configuration", catalog.Version)
}
