// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import "github.com/yardbridge/yardbridge/modules/setting"

// Overload accepts every job until the pool counts as overloaded, and from then on those that end in
// time.
var Overload = Policy{Name: setting.AdmissionOverload, Decide: decideByOverload}

func decideByOverload(r Request, s State) Decision {
	if s.Overloaded && s.OverloadWait > r.Latest {
		return Decision{Reason: Overloaded, Wait: s.OverloadWait, After: s.OverloadWait - r.Latest}
	}
	return Decision{Accepted: true, Reason: InTime, Wait: s.OverloadWait}
}
