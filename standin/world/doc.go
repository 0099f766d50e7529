// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package world is an in-memory model of the surrounding platform: its store, its workers,
// its instances and the network between nodes, with fault injection. It checks the orders
// that it receives against the rules and records violations. It starts no goroutines other
// than those of timers, so it can run on the clock of a synctest bubble.
package world
