// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package node assembles one node: the API for callers, the directory, the pools that the node owns
// and its connections to other nodes.
package node
