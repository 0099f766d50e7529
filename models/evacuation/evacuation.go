// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package evacuation

import "slices"

// List is the data centres under evacuation at one time: no task starts there. The zero value is
// none; a List is immutable.
type List struct {
	DataCenters []string // in order
	End         uint64   // offset up to which the operators' records were read; a later list has a higher one
}

// Has reports whether a data centre is under evacuation.
func (l List) Has(dataCenter string) bool { return slices.Contains(l.DataCenters, dataCenter) }
