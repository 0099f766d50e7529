// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package manifest holds the declarative objects that operators write (teams, customers, pools,
// services, jobs and maintenance) and reads them from TOML files.
package manifest
