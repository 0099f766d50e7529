// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package pools decides which pool each instance belongs to and when each instance is rebooted. The
// planner is a pure function; the decider proposes its plan on the log and acts on the platform
// only after the log has accepted an intent.
package pools
