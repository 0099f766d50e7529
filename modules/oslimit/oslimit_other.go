// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

//go:build !linux

package oslimit

// Descriptors returns 0, since the limit is not read on this system.
func Descriptors() int { return 0 }

// MemoryMB returns 0, since the limit is not read on this system.
func MemoryMB() int64 { return 0 }
