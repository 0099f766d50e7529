// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/yardbridge/yardbridge/models/job"
)

// Customer is a party on whose behalf callers call: jobs that are submitted with one of its keys
// belong to it.
type Customer struct {
	Name  string
	Keys  []KeyHash
	Share float64  // weight of the customer when not all can be served; 0 counts as 1
	Limit job.Size // of what may run for it over all pools, 0 for no limit in that dimension
}

// Weight returns the customer's share, 1 if none is set.
func (c *Customer) Weight() float64 {
	if c == nil || c.Share <= 0 {
		return 1
	}
	return c.Share
}

// KeyHash is the SHA-256 sum of a key; the key itself is not stored.
type KeyHash [sha256.Size]byte

// MaxKeyBytes is the length of the longest valid key, so that a call costs at most the hash of that
// many bytes.
const MaxKeyBytes = 256

// HashKey returns the hash of a key, and false for a text that can't be a key.
func HashKey(key string) (KeyHash, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return KeyHash{}, false
	}
	var text [MaxKeyBytes]byte // a slice of an array avoids an allocation
	return sha256.Sum256(text[:copy(text[:], key)]), true
}

// MarshalText returns the hash in hex digits.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText parses the output of MarshalText.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("key hash needs %d hex digits, got %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// WithCustomers returns a copy of the configuration with other customers.
func (c *Config) WithCustomers(list []Customer) *Config {
	next := *c
	next.Customers = list
	next.byHash = make(map[KeyHash]*Customer)
	next.byName = make(map[string]*Customer, len(list))
	for i := range list {
		next.byName[list[i].Name] = &list[i]
		for _, k := range list[i].Keys {
			next.byHash[k] = &list[i]
		}
	}
	return &next
}

// CustomerByKey returns the customer that a key belongs to, nil for none. Keys are looked up by
// their hash, so that the time of a lookup reveals nothing about the existing keys.
func (c *Config) CustomerByKey(key string) *Customer {
	h, valid := HashKey(key)
	if !valid {
		return nil
	}
	return c.byHash[h]
}

// Customer returns the customer with the name, nil for none.
func (c *Config) Customer(name string) *Customer { return c.byName[name] }
