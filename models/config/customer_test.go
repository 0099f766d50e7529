// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// configWith returns a configuration with a number of customers of four keys each.
func configWith(customers int) *Config {
	list := make([]Customer, customers)
	for i := range list {
		list[i].Name = fmt.Sprint("customer-", i)
		for k := range 4 {
			h, _ := HashKey(keyOf(i, k))
			list[i].Keys = append(list[i].Keys, h)
		}
	}
	return New(1, nil, nil, Limits{}).WithCustomers(list)
}

func keyOf(customer, key int) string { return fmt.Sprintf("%020d-%d", customer, key) }

// TestCustomerByKey checks that customers are found by each of their keys, and none by another
// text.
func TestCustomerByKey(t *testing.T) {
	c := configWith(20)
	for i := range 20 {
		for k := range 4 {
			assert.Equal(t, c.CustomerByKey(keyOf(i, k)), c.Customer(fmt.Sprint("customer-", i)))
		}
	}
	for _, text := range []string{"", "x", keyOf(20, 0), keyOf(1, 1) + "0", strings.Repeat("x", MaxKeyBytes+1)} {
		assert.Assert(t, c.CustomerByKey(text) == nil, text)
	}
	none := New(2, nil, nil, Limits{})
	assert.Assert(t, none.CustomerByKey(keyOf(1, 1)) == nil)
}

// TestConfigurationPassesBetweenNodes checks that a configuration can be passed from node to node,
// and that its encoding contains no key.
func TestConfigurationPassesBetweenNodes(t *testing.T) {
	c := configWith(2)
	text, err := json.Marshal(c)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), keyOf(1, 1)))
	var read Config
	assert.NilError(t, json.Unmarshal(text, &read))
	again := New(read.Version, read.Queues, read.Pools, read.Limits).WithCustomers(read.Customers)
	assert.Equal(t, again.CustomerByKey(keyOf(1, 1)).Name, "customer-1")
}

// TestKeyLookupDoesNotAllocate guards against an allocation in each call: looking up its key needs
// none.
func TestKeyLookupDoesNotAllocate(t *testing.T) {
	c, key := configWith(1000), keyOf(7, 3)
	assert.Equal(t, testing.AllocsPerRun(100, func() { c.CustomerByKey(key) }), 0.0)
}

// BenchmarkCustomerByKey looks up one key among 1,000 customers with four keys each.
func BenchmarkCustomerByKey(b *testing.B) {
	c, key := configWith(1000), keyOf(7, 3)
	b.ReportAllocs()
	for b.Loop() {
		c.CustomerByKey(key)
	}
}
