// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

// Overload accepts every job until the pool counts as overloaded, and from then on those that end in
// time.
var Overload = Policy{Name: "overload", Decide: decideByOverload}

func decideByOverload(r Request, s State) Decision {
	if s.Overloaded && s.OverloadWait > r.Latest {
		return Decision{Reason: Overloaded, Wait: s.OverloadWait, After: s.OverloadWait - r.Latest}
	}
	return Decision{Accepted: true, Reason: InTime, Wait: s.OverloadWait}
}
