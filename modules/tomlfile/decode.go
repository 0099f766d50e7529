// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tomlfile

import (
	stderrors "errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// maxTypeProblems bounds how often a file with values of wrong types is decoded again.
const maxTypeProblems = 50

// Decode decodes data into v and returns all unknown keys and values of wrong types. If the
// text is not valid TOML, it returns the first syntax error, and false.
func Decode(file, data string, v any) (problems Problems, isTOML bool) {
	for range maxTypeProblems {
		md, err := toml.Decode(data, v)
		if err == nil {
			return append(problems, unknownKeys(file, data, md)...), true
		}
		p, line := toProblem(file, err)
		problems = append(problems, p)
		if line == 0 {
			return problems, false
		}
		data = blankLine(data, line)
	}
	return problems, true
}

// typeError matches the TOML library's message for a value of the wrong type, after which
// decoding can continue.
var typeError = regexp.MustCompile(`(?s)^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// toProblem converts an error to a Problem, and returns its line if decoding can continue
// after it.
func toProblem(file string, err error) (problem Problem, line int) {
	if m := typeError.FindStringSubmatch(err.Error()); m != nil {
		// The pattern matches only digits.
		line, _ = strconv.Atoi(m[1])
		return Problem{File: file, Line: line, Key: m[2], Message: m[3]}, line
	}
	var pe toml.ParseError
	if stderrors.As(err, &pe) {
		return Problem{File: file, Line: pe.Position.Line, Key: pe.LastKey, Message: pe.Message}, 0
	}
	return Problem{File: file, Message: err.Error()}, 0
}

func blankLine(data string, line int) string {
	lines := strings.Split(data, "\n")
	if line > len(lines) {
		return data
	}
	lines[line-1] = "#"
	return strings.Join(lines, "\n")
}

func unknownKeys(file, data string, md toml.MetaData) Problems {
	var problems Problems
	locator := NewLocator(data)
	seen := make(map[string]bool)
	for _, k := range md.Undecoded() {
		dotted := k.String()
		if seen[dotted] || seen[parentKey(dotted)] {
			continue
		}
		seen[dotted] = true
		lines := locator.lines(dotted)
		if len(lines) == 0 {
			lines = []int{0}
		}
		for _, n := range lines {
			problems = append(problems, Problem{File: file, Line: n, Key: dotted, Message: "unknown key"})
		}
	}
	return problems
}

func parentKey(dotted string) string {
	i := strings.LastIndexByte(dotted, '.')
	if i < 0 {
		return ""
	}
	return dotted[:i]
}
