// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package measure counts and times what a node does, by the name of the call and
// its outcome, and wraps the ports to the outside systems so that every call
// through them is counted.
package measure
