// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const exampleFile = "../../custom/settings.example.toml"

// load returns the settings of a file, which must be valid.
func load(t *testing.T, path string) Settings {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	s, problems := Parse(path, string(data))
	assert.NilError(t, problems.Err())
	return s
}

func TestExampleIsValid(t *testing.T) {
	s := load(t, exampleFile)
	assert.Equal(t, s.Tokens[1].Team, "floor")
	assert.Equal(t, fmt.Sprint(s.Tokens), "[{operator *** } {floor-automation *** floor}]", "a secret is printed")
}

// TestExampleShowsTheDefaults uncomments the keys that the example shows with their
// defaults: the settings must stay the same.
func TestExampleShowsTheDefaults(t *testing.T) {
	data, err := os.ReadFile(exampleFile)
	assert.NilError(t, err)
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		key, found := strings.CutPrefix(line, "# ")
		isPeerKey := strings.HasPrefix(key, "certificate =") || strings.HasPrefix(key, "key =") || strings.HasPrefix(key, "authority =")
		if found && strings.Contains(key, " = ") && !isPeerKey {
			line = key
		}
		lines = append(lines, line)
	}
	full, problems := Parse("full", strings.Join(lines, "\n"))
	assert.NilError(t, problems.Err())
	assert.DeepEqual(t, full, load(t, exampleFile))
}

func TestChangedNamesTheKeys(t *testing.T) {
	a, b := Default(), Default()
	b.Limits.StaleAfter++
	b.Peers.Seeds = []string{"127.0.0.1:1"}
	b.Tokens = []Token{{Name: "x"}}
	assert.DeepEqual(t, Changed(a, b), []string{"peers.seeds", "limits.stale", "token"})
}
