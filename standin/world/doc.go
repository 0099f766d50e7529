// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package world is a small model of the users' platform in memory: its store, its
// workers, its instances and the network between nodes, with the faults that the
// platform may have. It looks at what it is told and notes what must not happen.
// It has no goroutines of its own but those of timers, so that it runs on the
// clock of a synctest bubble.
package world
