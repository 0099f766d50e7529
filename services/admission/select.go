// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import "github.com/yardbridge/yardbridge/modules/setting"

// Select returns the policy of a setting; "" selects as setting.AdmissionAuto does.
func Select(name string, hasCustomers bool) Policy {
	if name == setting.AdmissionCompletion || name != setting.AdmissionOverload && hasCustomers {
		return Completion
	}
	return Overload
}
