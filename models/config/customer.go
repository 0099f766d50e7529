// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/yardbridge/yardbridge/models/job"
)

// Customer is on whose behalf callers call: what is handed in with one of its keys is its own.
type Customer struct {
	Name  string
	Keys  []KeyHash
	Share float64  // of what there is when not all can be served, against those of the others; 0 counts as 1
	Limit job.Size // of what it may have running over all pools, 0 for none in that part
}

// Weight returns the customer's share, 1 where none is stated.
func (c *Customer) Weight() float64 {
	if c == nil || c.Share <= 0 {
		return 1
	}
	return c.Share
}

// KeyHash is the SHA-256 sum of a key; the key itself is kept nowhere.
type KeyHash [sha256.Size]byte

// MaxKeyBytes is how long a key may be: a longer one is none, so that a call costs no more
// than the hash of so many bytes.
const MaxKeyBytes = 256

// HashKey returns the hash of a key, and false for a text that can be none.
func HashKey(key string) (KeyHash, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return KeyHash{}, false
	}
	var text [MaxKeyBytes]byte // the sum of a slice of it takes no memory of its own
	return sha256.Sum256(text[:copy(text[:], key)]), true
}

// MarshalText writes the hash in hex digits.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText reads a hash that MarshalText has written.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("the hash of a key has %d hex digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// WithCustomers returns the configuration with other customers.
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

// CustomerByKey returns the customer that holds a key, nil for none. Keys are found by their
// hash, so that the time it takes tells nothing of the keys that there are.
func (c *Config) CustomerByKey(key string) *Customer {
	h, could := HashKey(key)
	if !could {
		return nil
	}
	return c.byHash[h]
}

// Customer returns the customer with the name, nil for none.
func (c *Config) Customer(name string) *Customer { return c.byName[name] }
