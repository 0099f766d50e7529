// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	stderrors "errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Exit codes of every subcommand.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// console is where a subcommand writes.
type console struct {
	out io.Writer
	err io.Writer
}

// command is one subcommand; run defines its flags on the set, parses the
// arguments with it and does the work.
type command struct {
	name    string
	summary string
	run     func(c console, flags *flag.FlagSet, args []string) error
}

// usageError is a wrong command line.
type usageError struct{ message string }

// Error returns what is wrong with the command line.
func (e usageError) Error() string { return e.message }

func commands() []command {
	return []command{
		{"standalone", "run the stand-in and three entries in one process", runStandalone},
		{"serve", "run an entry", runServe},
		{"node", "run a node on the users' platform", runNode},
		{"standin", "run the stand-in of the platform", runStandin},
		{"validate", "check declarative files or settings", runValidate},
		{"plan", "show what a file would change and move", runPlan},
		{"apply", "apply a file as a whole and wait until it is in force", runApply},
		{"status", "show pools, roles and what is short or blocked", runStatus},
		{"get", "show declared objects or instances", runGet},
		{"dump", "show the state of an entry process", runDump},
		{"job", "submit, cancel or show job runs", runJob},
		{"key", "make a key under which something runs at most once", runKey},
	}
}

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	c := console{out, errOut}
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
			return c.run(k, args[1:])
		}
	}
	c.complain(fmt.Sprintf("yardbridge: %q is no subcommand", args[0]))
	usage(errOut)
	return ExitUsage
}

func (c console) run(k command, args []string) int {
	flags := flag.NewFlagSet("yardbridge "+k.name, flag.ContinueOnError)
	flags.SetOutput(c.err)
	err := k.run(c, flags, args)
	var wrong usageError
	switch {
	case err == nil || stderrors.Is(err, flag.ErrHelp):
		return ExitOK
	case stderrors.As(err, &wrong):
		if wrong.message != "" {
			c.complain("yardbridge " + k.name + ": " + wrong.message)
		}
		return ExitUsage
	}
	c.complain("yardbridge " + k.name + ": " + errkind.Of(err).Error())
	return ExitFailed
}

// readFile reads a file that the command line names.
func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "a file can't be read: %v", err)
	}
	return data, nil
}

// counted says how many there are of something.
func counted(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}

// complain writes a line for a person; one that can't be written is lost.
func (c console) complain(line string) { _, _ = fmt.Fprintln(c.err, line) }

// say writes a formatted line of output.
func (c console) say(format string, args ...any) { _, _ = fmt.Fprintf(c.out, format+"\n", args...) }

func usage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "usage: yardbridge SUBCOMMAND [flags] [arguments]")
	for _, k := range commands() {
		_, _ = fmt.Fprintf(w, "  %-11s %s\n", k.name, k.summary)
	}
	_, _ = fmt.Fprintln(w, "yardbridge SUBCOMMAND -h shows the flags.")
}

// parse reads flags and checks the number of arguments that are left; a most
// of -1 is no bound.
func parse(flags *flag.FlagSet, args []string, usage string, least, most int) error {
	flags.Usage = func() {
		_, _ = fmt.Fprintf(flags.Output(), "usage: %s %s\n", flags.Name(), usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		if stderrors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{} // the flag package has said what is wrong
	}
	n := flags.NArg()
	if n < least || most >= 0 && n > most {
		return usageError{fmt.Sprintf("%d arguments are too few or too many; usage: %s %s", n, flags.Name(), usage)}
	}
	return nil
}
