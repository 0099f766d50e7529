// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet decides which pool has which instances and when they are
// maintained. One node at a time does so for all pools; a pool's owner empties
// the workers that are to go, and nothing is done to an instance before it has
// said that its worker is empty.
package fleet
