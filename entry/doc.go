// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package entry assembles the components of one entry process; package daemon adds the listeners to
// it.
package entry
