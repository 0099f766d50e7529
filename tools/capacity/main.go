// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command capacity computes the tables of docs/CAPACITY.md from the measurements in
// docs/measurements, and plots each slope.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

const (
	measured = "docs/measurements"
	plots    = "docs/plots"
	page     = "docs/CAPACITY.md"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	files, err := filepath.Glob(filepath.Join(measured, "*.txt"))
	if err != nil {
		return errors.Trace(err)
	}
	f, err := readMeasurements(files)
	if err != nil {
		return err
	}
	slopes := make(map[string]slope)
	for _, s := range specs {
		fitted, err := f.fit(s)
		if err != nil {
			return err
		}
		slopes[s.id] = fitted
		if err := fitted.plot(filepath.Join(plots, s.id+".svg")); err != nil {
			return err
		}
	}
	return fillPage(map[string]string{
		"slopes":  slopeTable(slopes),
		"roles":   roleTable(slopes),
		"figures": f.table(),
	})
}

// fillPage writes each table between its two markers on the page.
func fillPage(tables map[string]string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return errors.Trace(err)
	}
	text := string(data)
	for name, table := range tables {
		begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
		from, to := strings.Index(text, begin), strings.Index(text, end)
		if from < 0 || to < from {
			return errors.Errorf("%s lacks the markers of table %s", page, name)
		}
		text = text[:from+len(begin)] + table + text[to:]
	}
	return errors.Trace(os.WriteFile(page, []byte(text), 0o644))
}
