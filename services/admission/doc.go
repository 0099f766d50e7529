// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package admission decides whether a pool accepts a job: by what is known of its capacity over the
// next seconds and of the work that comes before the job, without I/O.
package admission
