// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tomlfile

import (
	"regexp"
	"strings"
)

var (
	tableLine = regexp.MustCompile(`^\s*\[\[?\s*([A-Za-z0-9_.-]+)\s*\]\]?`)
	keyLine   = regexp.MustCompile(`^\s*([A-Za-z0-9_-]+)\s*=`)
)

// Locator finds the lines of a file's keys.
type Locator struct {
	locations []location
}

type location struct {
	table string // "" for the top level
	index int    // which [[table]] of that name, from 0
	key   string // "" for the table header
	line  int    // from 1
}

// NewLocator indexes the lines of a TOML file.
func NewLocator(data string) Locator {
	var l Locator
	counts := make(map[string]int)
	table, index := "", 0
	for i, text := range strings.Split(data, "\n") {
		if m := tableLine.FindStringSubmatch(text); m != nil {
			table = m[1]
			index = counts[table]
			counts[table]++
			l.locations = append(l.locations, location{table: table, index: index, line: i + 1})
			continue
		}
		if m := keyLine.FindStringSubmatch(text); m != nil {
			l.locations = append(l.locations, location{table: table, index: index, key: m[1], line: i + 1})
		}
	}
	return l
}

// Line returns the line of a key in the index-th table of a name, the line of the table's
// header if the key is missing, and 0 if both are.
func (l Locator) Line(table string, index int, key string) int {
	header := 0
	for _, p := range l.locations {
		if p.table != table || p.index != index {
			continue
		}
		if p.key == key {
			return p.line
		}
		if p.key == "" {
			header = p.line
		}
	}
	return header
}

// lines returns every line that sets the dotted key.
func (l Locator) lines(dotted string) []int {
	var found []int
	for _, p := range l.locations {
		full := p.key
		switch {
		case p.table != "" && p.key != "":
			full = p.table + "." + p.key
		case p.table != "":
			full = p.table
		}
		if full == dotted {
			found = append(found, p.line)
		}
	}
	return found
}
