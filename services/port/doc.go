// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package port holds what the services need of the platform, as structs of
// functions: its store, its workers, its instances and its advice.
package port
