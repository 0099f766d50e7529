// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rendezvous selects owners by highest random weight hashing.
package rendezvous
