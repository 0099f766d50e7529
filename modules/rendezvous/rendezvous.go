// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rendezvous

import "hash/fnv"

// Owner returns the node with the highest weight for key, and "" if there are no nodes.
func Owner(key string, nodes []string) string {
	best, owner := uint64(0), ""
	for _, n := range nodes {
		w := weight(key, n)
		if owner == "" || w > best || w == best && n < owner {
			best, owner = w, n
		}
	}
	return owner
}

func weight(key, node string) uint64 {
	h := fnv.New64a()
	// hash.Hash.Write never returns an error.
	_, _ = h.Write([]byte(node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mix(h.Sum64())
}

// mix spreads the low bits of FNV, whose last input byte changes few high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
