// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package examples

import (
	"embed"

	"github.com/juju/errors"
)

//go:embed *.toml
var files embed.FS

// Example is one deployment: its declarative file, its fleet, and a service to try.
type Example struct {
	Name     string
	Manifest string
	Fleet    string
	Service  string
}

var services = map[string]string{
	"tablehold": "seat-check",
	"haddad":    "parcel-lookup",
}

// Get returns an example by its name.
func Get(name string) (Example, error) {
	service, ok := services[name]
	if !ok {
		return Example{}, errors.Errorf("unknown example %q; allowed are tablehold, haddad", name)
	}
	manifest, err := files.ReadFile(name + ".toml")
	if err != nil {
		return Example{}, errors.Trace(err)
	}
	fleet, err := files.ReadFile(name + "-fleet.toml")
	if err != nil {
		return Example{}, errors.Trace(err)
	}
	return Example{Name: name, Manifest: string(manifest), Fleet: string(fleet), Service: service}, nil
}
