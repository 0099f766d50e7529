// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

// Auto is the name of the setting that decides by completion where the configuration names customers,
// and as Overload elsewhere.
const Auto = "auto"

// Names returns the allowed names of a policy in the settings.
func Names() []string { return []string{Auto, Overload.Name, Completion.Name} }

// Select returns the policy of a setting, which is "" for its default.
func Select(name string, hasCustomers bool) Policy {
	if name == Completion.Name || name != Overload.Name && hasCustomers {
		return Completion
	}
	return Overload
}
