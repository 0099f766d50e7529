// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
)

// settingsPeriod is how often the settings file is read to detect a change without a signal;
// reading it takes some microseconds.
const settingsPeriod = 2 * time.Second

// settingsWatcher applies changes of a settings file.
type settingsWatcher struct {
	path   string
	logger log.Logger
	clock  clock.Clock
	hangup <-chan struct{}
	apply  func(setting.Node)
	known  []byte // the file as last read
}

// watchSettings watches the settings file until the context ends; known is its content as last
// read.
func (p *nodeProcess) watchSettings(ctx context.Context, path string, known []byte, hangup <-chan struct{}) {
	w := &settingsWatcher{path: path, logger: p.logger, hangup: hangup, apply: p.node.Reload, known: known}
	go w.run(ctx)
}

// wake wakes the receiver; wake-ups before it receives are merged into one.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run reads the file at each signal and periodically.
func (w *settingsWatcher) run(ctx context.Context) {
	for {
		select {
		case <-w.hangup:
			w.logger.Info().Str("event", "reload").Str("why", "hangup signal").Msg("the settings are read again")
			if _, read := w.read(); read {
				w.load()
			}
		case <-w.clock.After(settingsPeriod):
			if changed, _ := w.read(); changed {
				w.load()
			}
		case <-ctx.Done():
			return
		}
	}
}

// read reads the file, and reports whether it has changed and whether it could be read.
func (w *settingsWatcher) read() (changed, read bool) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.Warn().Str("event", "reload").Err(err).Msg("the settings file can't be read; the known settings stay in force")
		return false, false
	}
	changed = !bytes.Equal(data, w.known)
	w.known = data
	return changed, true
}

// load applies the settings that were read last, unless they are invalid.
func (w *settingsWatcher) load() {
	s, err := setting.ParseNode(w.path, string(w.known))
	if err != nil {
		w.logger.Error().Str("event", "reload").Str("outcome", "kept").Err(err).Msg("invalid settings; the known settings stay in force")
		return
	}
	w.apply(s)
}
