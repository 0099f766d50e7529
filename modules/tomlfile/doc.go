// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tomlfile decodes TOML strictly and reports every problem with its file, line and
// key.
package tomlfile
