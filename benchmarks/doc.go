// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package benchmarks measures complete entries, and decisions at the design size; "make measure"
// runs it and stores the results.
package benchmarks
