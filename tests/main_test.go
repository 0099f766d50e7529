// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tests

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binary is the built program, with the race detector.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "yardbridge")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "yardbridge")
	build := exec.Command("go", "build", "-race", "-o", binary, "github.com/yardbridge/yardbridge")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[worldKey{}] = newWorld(env)
			env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"standin":    withWorld((*world).cmdStandin),
			"patient":    withWorld((*world).cmdPatient),
			"entry":      withWorld((*world).cmdEntry),
			"signal":     withWorld((*world).cmdSignal),
			"gone":       withWorld((*world).cmdGone),
			"load":       withWorld((*world).cmdLoad),
			"request":    withWorld((*world).cmdRequest),
			"until":      withWorld((*world).cmdUntil),
			"control":    withWorld((*world).cmdControl),
			"journals":   withWorld((*world).cmdJournals),
			"serving":    withWorld((*world).cmdServing),
			"unused":     withWorld((*world).cmdUnused),
			"quiet":      withWorld((*world).cmdQuiet),
			"relay":      withWorld((*world).cmdRelay),
			"cut":        withWorld((*world).cmdCut),
			"rebooted":   withWorld((*world).cmdRebooted),
			"key":        cmdKey,
			"eventually": withWorld((*world).cmdEventually),
			"base":       withWorld((*world).cmdBase),
			"background": withWorld((*world).cmdBackground),
			"started":    withWorld((*world).cmdStarted),
			"streaming":  withWorld((*world).cmdStreaming),
			"finished":   withWorld((*world).cmdFinished),
		},
	})
}
