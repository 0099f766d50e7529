// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"image/color"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plot draws the measured points and the fitted line.
func (s slope) plot(path string) error {
	p := plot.New()
	p.Title.Text = s.title
	p.X.Label.Text = s.x
	p.Y.Label.Text = s.unit
	points := make(plotter.XYs, len(s.xs))
	for i := range s.xs {
		points[i] = plotter.XY{X: s.xs[i], Y: s.ys[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Trace(err)
	}
	line := plotter.NewFunction(s.at)
	line.Color = color.RGBA{B: 200, A: 255}
	p.Add(scatter, line)
	p.X.Min = 0
	p.X.Max = max(s.xs[len(s.xs)-1], s.design)
	p.Y.Min = min(0, s.at(0))
	p.Y.Max = max(s.at(p.X.Max), s.ys[len(s.ys)-1]) * 1.1
	return errors.Trace(p.Save(12*vg.Centimeter, 8*vg.Centimeter, path))
}
