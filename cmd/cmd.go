// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	stderrors "errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/signals"
)

// Exit codes of all subcommands.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// console holds the outputs of a subcommand and the handler of its signals.
type console struct {
	out     io.Writer
	err     io.Writer
	lines   *log.AsyncWriter // the log, written to err unless the command has its own
	signals *signalHandler
}

// command is one subcommand. Its run function defines its flags on the set, parses the arguments
// with it and does the work. Its context ends with the first signal that requests a stop.
type command struct {
	name        string
	summary     string
	longRunning bool // it runs until a signal stops it
	run         func(ctx context.Context, c console, flags *flag.FlagSet, args []string) error
}

// usageError is an error of the command line.
type usageError struct{ message string }

// Error returns the message of the error.
func (e usageError) Error() string { return e.message }

func commands() []command {
	return []command{
		{"standalone", "run the stand-in and three entries in one process", true, runStandalone},
		{"serve", "run an entry", true, runServe},
		{"node", "run a node on the users' platform", true, runNode},
		{"standin", "run the stand-in of the platform", true, runStandin},
		{"validate", "check declarative files or settings", false, runValidate},
		{"plan", "show what a file would change and move", false, runPlan},
		{"apply", "apply a file as a whole and wait until it is in force", false, runApply},
		{"status", "show pools, roles and what is short or blocked", false, runStatus},
		{"get", "show declared objects or instances", false, runGet},
		{"dump", "show the state of an entry process", false, runDump},
		{"job", "submit, cancel or show job runs", false, runJob},
		{"customer-key", "create a customer's key, and its hash for a declarative file", false, runCustomerKey},
		{"key", "create a key with which a request or a job runs at most once", false, runKey},
	}
}

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	lines := &log.AsyncWriter{Output: errOut}
	defer lines.Flush()
	logger, err := log.New(lines, "info", "yardbridge")
	if err != nil { // can't happen, since the level is a known one
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	ctx, watch := watchSignals(logger)
	c := console{out, errOut, lines, watch}
	if len(args) == 0 {
		usage(errOut)
		return ExitUsage
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		usage(out)
		return ExitOK
	}
	for _, k := range commands() {
		if k.name == args[0] {
			return c.run(ctx, k, args[1:])
		}
	}
	c.printError(fmt.Sprintf("yardbridge: unknown subcommand %q", args[0]))
	usage(errOut)
	return ExitUsage
}

func (c console) run(ctx context.Context, k command, args []string) int {
	flags := flag.NewFlagSet("yardbridge "+k.name, flag.ContinueOnError)
	flags.SetOutput(c.err)
	if k.longRunning {
		signals.IgnoreSIGPIPE()
	} else {
		c.signals.serving(nil, nil)
	}
	err := k.run(ctx, c, flags, args)
	var wrong usageError
	switch {
	case k.longRunning && stderrors.Is(err, context.Canceled):
		return ExitOK // stopped before it served
	case err != nil && ctx.Err() != nil:
		c.printError("yardbridge " + k.name + ": stopped by a signal: " + errkind.Of(err).Error())
		return ExitFailed
	case err == nil || stderrors.Is(err, flag.ErrHelp):
		return ExitOK
	case stderrors.As(err, &wrong):
		if wrong.message != "" {
			c.printError("yardbridge " + k.name + ": " + wrong.message)
		}
		return ExitUsage
	}
	c.printError("yardbridge " + k.name + ": " + errkind.Of(err).Error())
	return ExitFailed
}

// readFile reads a file that the command line names.
func readFile(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, "a file can't be read", name)
}

// readSettings reads the settings of a process.
func readSettings(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, "settings", name)
}

// read reads a file unless the context ends first; what is the subject of its errors.
func read(ctx context.Context, what, name string) ([]byte, error) {
	f := &fileRead{name: name, read: make(chan struct{})}
	go f.run()
	select {
	case <-f.read:
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	if f.err != nil {
		return nil, errkind.New(errkind.BadRequest, "%s: %v", what, f.err)
	}
	return f.data, nil
}

// fileRead is the reading of a file. It may block forever, since the file may be a pipe, or on a
// disk that does not respond.
type fileRead struct {
	name string
	data []byte
	err  error
	read chan struct{} // closed when the read is complete
}

// run reads the file.
func (f *fileRead) run() {
	defer close(f.read)
	f.data, f.err = os.ReadFile(f.name)
}

// countOf returns a number with its noun, in the plural unless it is one.
func countOf(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}

// printError prints an error message; write errors are ignored.
func (c console) printError(line string) { _, _ = fmt.Fprintln(c.err, line) }

// printLine prints a formatted line to the output.
func (c console) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format+"\n", args...)
}

func usage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "usage: yardbridge SUBCOMMAND [flags] [arguments]")
	for _, k := range commands() {
		_, _ = fmt.Fprintf(w, "  %-11s %s\n", k.name, k.summary)
	}
	_, _ = fmt.Fprintln(w, "yardbridge SUBCOMMAND -h shows the flags.")
}

// parse parses the flags and checks the number of remaining arguments; a most of -1 means no limit.
func parse(flags *flag.FlagSet, args []string, usage string, least, most int) error {
	flags.Usage = func() {
		_, _ = fmt.Fprintf(flags.Output(), "usage: %s %s\n", flags.Name(), usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		if stderrors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{} // the flag package has printed the error
	}
	n := flags.NArg()
	if n < least || most >= 0 && n > most {
		return usageError{fmt.Sprintf("wrong number of arguments (%d); usage: %s %s", n, flags.Name(), usage)}
	}
	return nil
}
