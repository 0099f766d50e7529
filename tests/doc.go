// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tests holds the scripted tests of whole processes; the scripts are in testdata.
package tests
