// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the random histories, so that a run always has the same result;
// -rapid.seed on the command line sets another seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260302", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
