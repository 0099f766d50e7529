// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package body reads request bodies within a budget of memory that all requests of a process share.
package body
