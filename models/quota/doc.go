// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quota describes how much a customer may have running, and which part of it each pool may
// use.
package quota
