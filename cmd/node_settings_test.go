// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
)

// nodeSettings is a complete settings file of a node.
const nodeSettings = `[node]
name = "n1"
data_center = "a"
address = "127.0.0.1"
cores = 1.0
memory_mb = 200

[listen]
callers = "127.0.0.1:7001"
ready = "127.0.0.1:7002"
node_port = 7003

[platform]
store = "127.0.0.1:7004"
instances = "127.0.0.1:7005"
partitions = 8

[bounds]
lease_most = "10s"
grace = "6s"
`

// lineChannel receives log lines.
type lineChannel chan string

// Write sends one line to the channel.
func (l lineChannel) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// TestSettingsFileIsReloaded changes a settings file without a signal, then makes it invalid, and
// then changes it with a signal.
func TestSettingsFileIsReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(nodeSettings)
	lines := make(lineChannel, 10)
	logger, err := log.New(lines, "info", "n1")
	assert.NilError(t, err)
	hangup, tick := make(chan struct{}), make(chan time.Time)
	waits := make(chan struct{}) // received before each change, so that no half-written file is read
	applied := make(chan setting.Node, 1)
	w := &settingsWatcher{
		path: path, logger: logger, hangup: hangup, apply: func(s setting.Node) { applied <- s },
		clock: clock.Clock{AfterFunc: func(time.Duration) <-chan time.Time {
			waits <- struct{}{}
			return tick
		}},
		known: []byte(nodeSettings),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(ctx)
	}()

	<-waits
	tick <- time.Time{} // nothing has changed
	<-waits
	write(strings.Replace(nodeSettings, `grace = "6s"`, `grace = "9s"`, 1))
	tick <- time.Time{}
	assert.Equal(t, (<-applied).Bounds.ShutdownGrace.Std(), 9*time.Second)

	<-waits
	write(strings.Replace(nodeSettings, `grace = "6s"`, `grace = "soon"`, 1))
	tick <- time.Time{} // nothing is applied
	assert.Assert(t, strings.Contains(<-lines, "invalid settings"))
	<-waits
	write(nodeSettings)
	hangup <- struct{}{}
	assert.Equal(t, (<-applied).Bounds.ShutdownGrace.Std(), 6*time.Second)
	<-waits
	cancel()
	<-ended
	assert.Assert(t, strings.Contains(<-lines, "hangup signal"))
}
