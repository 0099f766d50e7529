// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package returns keeps the promises of a pool's owner to callers whose jobs it has refused: the
// second in which each may come back and is accepted. The promises are in memory only; an owner that
// takes over starts with none.
package returns
