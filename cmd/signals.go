// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"os"
	"sync"

	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/signals"
)

// watch carries out what the signals of a process ask for, from before its command
// is known until it ends. Each kind has a loop of its own: a reload that takes long
// does not hold up a stop.
type watch struct {
	stop context.CancelFunc // of the command's context
	done <-chan struct{}    // closed once a stop was asked for

	mu      sync.Mutex
	logger  log.Logger
	started bool
	pending bool   // a hang-up has come during the start
	reload  func() // nil for nothing to read anew
	dump    func() // nil for nothing to show
}

// watchSignals begins to take the signals of the process; the context ends with the
// first that asks for a stop.
func watchSignals(logger log.Logger) (context.Context, *watch) {
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{stop: stop, done: ctx.Done(), logger: logger}
	go w.run(signals.Stops, w.end)
	go w.run(signals.Hangups, w.hangup)
	go w.run(signals.Dumps, w.show)
	return ctx, w
}

// run takes the signals of one kind until the process ends.
func (w *watch) run(list <-chan os.Signal, take func(os.Signal)) {
	for g := range list {
		take(g)
	}
}

// use has signals be logged by the logger of the command from now on.
func (w *watch) use(logger log.Logger) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logger = logger
}

// serving tells that the command has started, and what a hang-up and a wish for a
// dump have it do from now on, nil for nothing. A hang-up that came before counts.
func (w *watch) serving(reload, dump func()) {
	w.mu.Lock()
	w.started, w.reload, w.dump = true, reload, dump
	late := w.pending && reload != nil
	w.pending = false
	w.mu.Unlock()
	if late {
		reload()
	}
}

// end has the process stop; one that stops already goes on with that.
func (w *watch) end(g os.Signal) {
	if w.stopping() {
		w.log(g.String(), "none", "the process stops already")
		return
	}
	w.log(g.String(), "stop", "the process is asked to stop")
	w.stop()
}

// stopping reports whether a stop was asked for.
func (w *watch) stopping() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// hangup has the settings read anew.
func (w *watch) hangup(os.Signal) {
	w.mu.Lock()
	reload, started := w.reload, w.started
	w.pending = w.pending || !started
	w.mu.Unlock()
	switch {
	case w.stopping():
		w.log("hangup", "none", "the process stops; nothing is read anew")
	case !started:
		w.log("hangup", "later", "the process starts; its settings are read anew once it has")
	case reload == nil:
		w.log("hangup", "none", "there is nothing to read anew")
	default:
		w.log("hangup", "reload", "the settings are read anew")
		reload()
	}
}

// show has the state of the process shown.
func (w *watch) show(g os.Signal) {
	w.mu.Lock()
	dump := w.dump
	w.mu.Unlock()
	if dump == nil {
		w.log(g.String(), "none", "there is nothing to show")
		return
	}
	w.log(g.String(), "dump", "the state is shown")
	dump()
}

// log tells of a signal, whatever the level of the log: signals are rare, and someone
// means each.
func (w *watch) log(signal, outcome, message string) {
	w.mu.Lock()
	logger := w.logger
	w.mu.Unlock()
	logger.Log().Str("level", "info").Str("event", "signal").Str("signal", signal).Str("outcome", outcome).Msg(message)
}
