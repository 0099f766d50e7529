// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package monitor detects nodes that are gone: each node probes its two successors by name, and
// removes from the directory a node that neither it nor other nodes can reach.
package monitor
