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

// binary is the path of the program, built with the race detector.
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
			env.Values[testEnvKey{}] = newTestEnv(env)
			env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"standin":    withTestEnv((*testEnv).cmdStandin),
			"patient":    withTestEnv((*testEnv).cmdPatient),
			"entry":      withTestEnv((*testEnv).cmdEntry),
			"signal":     withTestEnv((*testEnv).cmdSignal),
			"gone":       withTestEnv((*testEnv).cmdGone),
			"load":       withTestEnv((*testEnv).cmdLoad),
			"request":    withTestEnv((*testEnv).cmdRequest),
			"until":      withTestEnv((*testEnv).cmdUntil),
			"control":    withTestEnv((*testEnv).cmdControl),
			"journals":   withTestEnv((*testEnv).cmdJournals),
			"serving":    withTestEnv((*testEnv).cmdServing),
			"unused":     withTestEnv((*testEnv).cmdUnused),
			"quiet":      withTestEnv((*testEnv).cmdQuiet),
			"relay":      withTestEnv((*testEnv).cmdRelay),
			"cut":        withTestEnv((*testEnv).cmdCut),
			"rebooted":   withTestEnv((*testEnv).cmdRebooted),
			"key":        cmdKey,
			"eventually": withTestEnv((*testEnv).cmdEventually),
			"base":       withTestEnv((*testEnv).cmdBase),
			"background": withTestEnv((*testEnv).cmdBackground),
			"started":    withTestEnv((*testEnv).cmdStarted),
			"streaming":  withTestEnv((*testEnv).cmdStreaming),
			"finished":   withTestEnv((*testEnv).cmdFinished),
		},
	})
}
