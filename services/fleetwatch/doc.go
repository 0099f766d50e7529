// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleetwatch reads the platform's instance list, puts the changes on the log, and notifies
// the entries at once of targets that are leaving.
package fleetwatch
