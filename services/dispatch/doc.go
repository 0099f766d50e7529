// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dispatch forwards a caller's request to a target and returns the complete response, or an
// error that reports correctly whether the request may have been run.
package dispatch
