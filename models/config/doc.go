// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package config holds the operators' current configuration of queues, pools and customers.
package config
