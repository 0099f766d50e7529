// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command standin-3 plays the platform, its workers, its advice service, its operator and its callers for the scripts of
// the third review, and starts the nodes as processes of their own. It is written from the users' pages only and uses no
// package of the project.
package main
