// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock abstracts time: the zero Clock is the real one, and a Fake is for tests.
package clock
