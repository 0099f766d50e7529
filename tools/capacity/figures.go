// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

// measurements holds the measured results, in the order of the files.
type measurements struct {
	results []result
}

// result is one run of one benchmark.
type result struct {
	name   string // without the prefix Benchmark and the number of processors
	values []benchfmt.Value
}

func readMeasurements(files []string) (*measurements, error) {
	f := &measurements{}
	for _, name := range files {
		if err := f.read(name); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *measurements) read(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	reader := benchfmt.NewReader(file, name)
	for reader.Scan() {
		r, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue // a line of another kind, or one that can't be parsed
		}
		full := r.Name.String()
		if i := strings.LastIndexByte(full, '-'); i > 0 {
			full = full[:i]
		}
		f.results = append(f.results, result{name: full, values: slices.Clone(r.Values)})
	}
	return errors.Trace(reader.Err())
}

// value returns a value of a result, and false if it was not reported.
func (r result) value(unit string) (float64, bool) {
	for _, v := range r.values {
		if v.Unit == unit {
			return v.Value, true
		}
		if v.OrigUnit == unit {
			return v.OrigValue, true
		}
	}
	return 0, false
}

// spec selects the measurements of a slope.
type spec struct {
	id     string
	title  string
	prefix string // of the benchmark's name
	suffix string // of the benchmark's name, empty for any
	x      string // key in the name, such as n in n=500
	unit   string
	design float64 // value of x at the design size
}

// slope is a fitted line through the means at each size.
type slope struct {
	spec
	xs, ys []float64
	spread float64 // largest (max-min)/mean of the runs at one size
	runs   int     // smallest number of runs at one size
	a, b   float64 // y = a + b*x
	r2     float64
}

func (s slope) at(x float64) float64 { return s.a + s.b*x }

func (f *measurements) fit(s spec) (slope, error) {
	byX := make(map[float64][]float64)
	for _, r := range f.results {
		if !strings.HasPrefix(r.name, s.prefix) || !strings.HasSuffix(r.name, s.suffix) {
			continue
		}
		x, ok := keyOf(r.name, s.x)
		y, there := r.value(s.unit)
		if ok && there {
			byX[x] = append(byX[x], y)
		}
	}
	fitted := slope{spec: s}
	if len(byX) < 4 {
		return fitted, errors.Errorf("slope %s has %d sizes, at least 4 are needed", s.id, len(byX))
	}
	for x := range byX {
		fitted.xs = append(fitted.xs, x)
	}
	slices.Sort(fitted.xs)
	for _, x := range fitted.xs {
		ys := byX[x]
		mean := stat.Mean(ys, nil)
		fitted.ys = append(fitted.ys, mean)
		if mean != 0 {
			fitted.spread = max(fitted.spread, (slices.Max(ys)-slices.Min(ys))/mean)
		}
		if fitted.runs == 0 || len(ys) < fitted.runs {
			fitted.runs = len(ys)
		}
	}
	fitted.a, fitted.b = stat.LinearRegression(fitted.xs, fitted.ys, nil, false)
	fitted.r2 = stat.RSquared(fitted.xs, fitted.ys, nil, fitted.a, fitted.b)
	return fitted, nil
}

// keyOf returns the number after key= in a benchmark's name.
func keyOf(name, key string) (float64, bool) {
	for part := range strings.SplitSeq(name, "/") {
		if text, ok := strings.CutPrefix(part, key+"="); ok {
			n, err := strconv.ParseFloat(text, 64)
			return n, err == nil
		}
	}
	return 0, false
}

// table lists the measurements of complete entries.
func (f *measurements) table() string {
	var b strings.Builder
	b.WriteString("| benchmark | figures |\n| --- | --- |\n")
	for _, r := range f.results {
		if !slices.ContainsFunc(entryBenchmarks, func(p string) bool { return strings.HasPrefix(r.name, p) }) {
			continue
		}
		var parts []string
		for _, v := range r.values {
			unit, value := v.Unit, v.Value
			if v.OrigUnit != "" {
				unit, value = v.OrigUnit, v.OrigValue
			}
			if unit != "ns/op" {
				parts = append(parts, fmt.Sprintf("%s %.4g", unit, value))
			}
		}
		slices.Sort(parts)
		fmt.Fprintf(&b, "| %s | %s |\n", r.name, strings.Join(parts, ", "))
	}
	return b.String()
}

var entryBenchmarks = []string{"Request", "Overload", "RetryStorm", "Leaving", "Once", "Rollout", "Maintain", "Buffer", "JobMoves", "Urgent", "Sizes", "Membership"}
