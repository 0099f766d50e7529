// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package node puts one node together: callers' calls, the directory, the
// pools that the node owns and its link to other nodes.
package node
