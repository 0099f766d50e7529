// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package port declares the services' interface to the platform, as structs of functions: the
// store, the workers, the instances and the placement advice.
package port
