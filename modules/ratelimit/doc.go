// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ratelimit spaces calls to a service that accepts a limited number a second.
package ratelimit
