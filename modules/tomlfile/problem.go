// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tomlfile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Problem is an error in a file, with a line counted from 1 (0 for none).
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns the problem as file:line: key: message.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		b.WriteString(": " + p.Key)
	}
	b.WriteString(": " + p.Message)
	return b.String()
}

// Problems holds all problems of a file.
type Problems []Problem

// Err returns nil if there are no problems, and otherwise a BadRequest error with one
// problem a line.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return errkind.New(errkind.BadRequest, "%s", strings.Join(lines, "\n"))
}

// Merge returns the problems and those of more that are about other lines or keys, so that
// a value of the wrong type is not reported twice.
func (p Problems) Merge(more Problems) Problems {
	merged := slices.Clone(p)
	for _, m := range more {
		known := slices.ContainsFunc(p, func(q Problem) bool { return q.Line == m.Line && q.Key == m.Key })
		if !known {
			merged = append(merged, m)
		}
	}
	return merged
}
