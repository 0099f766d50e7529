// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package manifest

import (
	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// MaxFileBytes is the maximum size of a declarative file.
const MaxFileBytes = 1 << 20

// File is one declarative file; it describes its deployment completely.
type File struct {
	Deployment  string        `toml:"deployment"`
	Teams       []Team        `toml:"team"`
	Customers   []Customer    `toml:"customer"`
	Pools       []Pool        `toml:"pool"`
	Services    []Service     `toml:"service"`
	Jobs        []Job         `toml:"job"`
	Maintenance []Maintenance `toml:"maintenance"`
}

// Parse parses a declarative file and returns all problems of it.
func Parse(name, data string) (File, tomlfile.Problems) {
	if len(data) > MaxFileBytes {
		return File{}, tomlfile.Problems{{File: name, Message: "file is larger than 1 MiB, the largest size allowed"}}
	}
	var f File
	problems, isTOML := tomlfile.Decode(name, data, &f)
	if !isTOML {
		return File{}, problems
	}
	c := checker{file: name, locator: tomlfile.NewLocator(data)}
	c.checkFile(f)
	f.setDefaults()
	return f, problems.Merge(c.problems)
}

// Objects returns every object of the file.
func (f File) Objects() []Object {
	var objects []Object
	for i := range f.Teams {
		objects = append(objects, Object{Team: &f.Teams[i]})
	}
	for i := range f.Customers {
		objects = append(objects, Object{Customer: &f.Customers[i]})
	}
	for i := range f.Pools {
		objects = append(objects, Object{Pool: &f.Pools[i]})
	}
	for i := range f.Services {
		objects = append(objects, Object{Service: &f.Services[i]})
	}
	for i := range f.Jobs {
		objects = append(objects, Object{Job: &f.Jobs[i]})
	}
	for i := range f.Maintenance {
		objects = append(objects, Object{Maintenance: &f.Maintenance[i]})
	}
	return objects
}
