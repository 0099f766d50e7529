// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package manifest_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/examples"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/state"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"tablehold", "haddad"} {
		example, err := examples.Get(name)
		assert.NilError(t, err)
		file, problems := manifest.Parse(name, example.Manifest)
		assert.NilError(t, problems.Err())
		_, err = state.Catalog{}.With(file.Deployment, state.Change{Put: file.Objects()}, 0, 1)
		assert.NilError(t, err)
	}
}

// FuzzParse checks that any text is either rejected with a reason or leads to objects that can be
// encoded and have names.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"tablehold", "haddad"} {
		example, err := examples.Get(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(example.Manifest)
	}
	f.Add("deployment = \"d\"\n[[pool]]\nname = 3\nsize = \"x\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		file, problems := manifest.Parse("f", text)
		if problems.Err() != nil {
			return
		}
		for _, o := range file.Objects() {
			if o.Ref().Name == "" {
				t.Fatalf("an object without a name was accepted: %+v", o)
			}
			state.Sum(o)
		}
	})
}
