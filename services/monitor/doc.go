// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package monitor finds nodes that have gone: each node asks its two successors
// by name whether they are there, and takes one out of the directory that
// neither it nor others reach.
package monitor
