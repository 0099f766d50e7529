// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rollout puts configuration changes on the log and waits until they are in force on every
// entry.
package rollout
