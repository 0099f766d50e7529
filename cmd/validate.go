// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"flag"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// runValidate checks files without an entry.
func runValidate(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	settings := flags.Bool("settings", false, "the files are settings of processes")
	if err := parse(flags, args, "[flags] FILE...", 1, -1); err != nil {
		return err
	}
	var problems tomlfile.Problems
	for _, name := range flags.Args() {
		data, err := readFile(ctx, name)
		if err != nil {
			return err
		}
		if *settings {
			_, found := setting.Parse(name, string(data))
			problems = append(problems, found...)
			continue
		}
		problems = append(problems, validateFile(name, string(data))...)
	}
	for _, p := range problems {
		c.printError(p.String())
	}
	if len(problems) > 0 {
		return errkind.New(errkind.BadRequest, "%s", countOf(len(problems), "problem"))
	}
	c.printLine("in order: %s", countOf(flags.NArg(), "file"))
	return nil
}

// validateFile checks a declarative file, including its references.
func validateFile(name, data string) tomlfile.Problems {
	f, problems := manifest.Parse(name, data)
	if len(problems) > 0 {
		return problems
	}
	change := state.Change{Put: f.Objects()}
	if _, err := (state.Catalog{}).With(f.Deployment, change, 0, 1); err != nil {
		return tomlfile.Problems{{File: name, Message: err.Error()}}
	}
	return nil
}
