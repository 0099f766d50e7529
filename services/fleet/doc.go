// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet decides which instances belong to which pool and when they are maintained. One node
// at a time decides this for all pools. A pool's owner empties the workers to be removed, and no
// order is sent to an instance before the owner has reported its worker as empty.
package fleet
