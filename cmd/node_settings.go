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

// settingsPeriod is how often the settings file is read anew, for a change that
// no signal tells of: reading it takes some microseconds.
const settingsPeriod = 2 * time.Second

// settingsWatch takes up changes of a settings file.
type settingsWatch struct {
	path   string
	logger log.Logger
	clock  clock.Clock
	hangup <-chan struct{}
	apply  func(setting.Node)
	known  []byte // the file as it was read last
}

// watchSettings follows the settings file, of which something is known, until the
// context ends.
func (p *nodeProcess) watchSettings(ctx context.Context, path string, known []byte, hangup <-chan struct{}) {
	w := &settingsWatch{path: path, logger: p.logger, hangup: hangup, apply: p.node.Reload, known: known}
	go w.run(ctx)
}

// tell lets whoever waits go on; what is told twice before that is told once.
func tell(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run reads the file at each signal and now and then.
func (w *settingsWatch) run(ctx context.Context) {
	for {
		select {
		case <-w.hangup:
			w.logger.Info().Str("event", "reload").Str("why", "hangup signal").Msg("the settings are read anew")
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

// read reads the file, and reports whether it is another than before and whether
// it could be read.
func (w *settingsWatch) read() (changed, read bool) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.Warn().Str("event", "reload").Err(err).Msg("the settings file can't be read; the known settings stay in force")
		return false, false
	}
	changed = !bytes.Equal(data, w.known)
	w.known = data
	return changed, true
}

// load puts the settings that were read last in force, unless something is wrong
// with them.
func (w *settingsWatch) load() {
	s, err := setting.ParseNode(w.path, string(w.known))
	if err != nil {
		w.logger.Error().Str("event", "reload").Str("outcome", "kept").Err(err).Msg("wrong settings; those known stay in force")
		return
	}
	w.apply(s)
}
