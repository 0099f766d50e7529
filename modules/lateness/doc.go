// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lateness measures by how much a process is late with its own work: what waits for its turn
// there must not be taken for the delay of another system.
package lateness
