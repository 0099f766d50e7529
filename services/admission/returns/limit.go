// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package returns

import (
	"context"
	"time"
)

// limitKey is the key of a caller's time limit in a context.
type limitKey struct{}

// WithTimeLimit returns a context with the time until which a caller waits for its job to be accepted. The
// deadline of a context does not say so: it is set for callers that state no limit, too.
func WithTimeLimit(ctx context.Context, limit time.Time) context.Context {
	return context.WithValue(ctx, limitKey{}, limit)
}

// Remaining returns how long the caller of a context still waits, 0 if it states no limit and at least a
// nanosecond otherwise.
func Remaining(ctx context.Context) time.Duration {
	limit, stated := ctx.Value(limitKey{}).(time.Time)
	if !stated {
		return 0
	}
	return max(time.Until(limit), 1)
}
