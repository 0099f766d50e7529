// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package job holds the jobs that callers submit: their requirements, the names of their tasks and
// their states.
package job
