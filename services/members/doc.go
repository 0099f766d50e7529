// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package members tracks which entries are alive. Each entry probes one other entry a second,
// indirectly through helpers if it does not respond, and status updates are spread with the probes;
// so the message rate of an entry does not depend on the number of entries. The result is used for
// optimization only; no guarantee depends on it.
package members
