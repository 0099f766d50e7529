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

// signalHandler handles the signals of a process, from before its command is known until the
// process ends. Each kind of signal has its own loop, so that a long reload does not delay a stop.
type signalHandler struct {
	stop context.CancelFunc // of the command's context
	done <-chan struct{}    // closed once a stop was requested

	mu      sync.Mutex
	logger  log.Logger
	started bool
	pending bool   // a hang-up was received during the start
	reload  func() // nil if there is nothing to reload
	dump    func() // nil if there is no state to dump
}

// watchSignals starts handling the signals of the process; the context ends with the first that
// requests a stop.
func watchSignals(logger log.Logger) (context.Context, *signalHandler) {
	ctx, stop := context.WithCancel(context.Background())
	w := &signalHandler{stop: stop, done: ctx.Done(), logger: logger}
	go w.run(signals.Stops, w.stopProcess)
	go w.run(signals.Hangups, w.hangup)
	go w.run(signals.Dumps, w.dumpState)
	return ctx, w
}

// run handles the signals of one kind until the process ends.
func (w *signalHandler) run(list <-chan os.Signal, handle func(os.Signal)) {
	for g := range list {
		handle(g)
	}
}

// use sets the logger for signals to the logger of the command.
func (w *signalHandler) use(logger log.Logger) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logger = logger
}

// serving records that the command has started, and what hang-ups and dump signals do from now on,
// nil for nothing. A hang-up received before is handled now.
func (w *signalHandler) serving(reload, dump func()) {
	w.mu.Lock()
	w.started, w.reload, w.dump = true, reload, dump
	reloadNow := w.pending && reload != nil
	w.pending = false
	w.mu.Unlock()
	if reloadNow {
		reload()
	}
}

// stopProcess stops the process unless it is already stopping.
func (w *signalHandler) stopProcess(g os.Signal) {
	if w.stopping() {
		w.log(g.String(), "none", "the process is already stopping")
		return
	}
	w.log(g.String(), "stop", "the process is stopping")
	w.stop()
}

// stopping reports whether a stop was requested.
func (w *signalHandler) stopping() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// hangup reloads the settings.
func (w *signalHandler) hangup(os.Signal) {
	w.mu.Lock()
	reload, started := w.reload, w.started
	w.pending = w.pending || !started
	w.mu.Unlock()
	switch {
	case w.stopping():
		w.log("hangup", "none", "the process is stopping; nothing is reloaded")
	case !started:
		w.log("hangup", "later", "the process is starting; its settings are reloaded after the start")
	case reload == nil:
		w.log("hangup", "none", "there is nothing to reload")
	default:
		w.log("hangup", "reload", "the settings are reloaded")
		reload()
	}
}

// dumpState dumps the state of the process.
func (w *signalHandler) dumpState(g os.Signal) {
	w.mu.Lock()
	dump := w.dump
	w.mu.Unlock()
	if dump == nil {
		w.log(g.String(), "none", "there is no state to dump")
		return
	}
	w.log(g.String(), "dump", "the state is dumped")
	dump()
}

// log logs a signal at any log level, since signals are rare and each is sent on purpose.
func (w *signalHandler) log(signal, outcome, message string) {
	w.mu.Lock()
	logger := w.logger
	w.mu.Unlock()
	logger.Log().Str("level", "info").Str("event", "signal").Str("signal", signal).Str("outcome", outcome).Msg(message)
}
