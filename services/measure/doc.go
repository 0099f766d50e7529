// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package measure counts and times the calls that a node handles and makes, by call and outcome,
// and wraps the ports to external systems so that every call through them is counted.
package measure
