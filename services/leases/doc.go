// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package leases renews or claims the roles that one entry at a time holds.
package leases
