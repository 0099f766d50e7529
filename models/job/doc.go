// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package job holds the submitted jobs of callers: what they ask for, how
// their tasks are named and what state they are in.
package job
