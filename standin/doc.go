// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package standin is a small in-memory fake of the platform: its log, its instance list,
// its workers and their targets, with failures that a test can inject. It implements only
// the interfaces of the platform.
package standin
