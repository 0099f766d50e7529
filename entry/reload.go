// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import "github.com/yardbridge/yardbridge/modules/setting"

// Reload applies newer settings: the tokens, the seeds, and the limits that are read at each use.
// It returns the keys of the other settings that differ, which take effect at the next start.
func (e *Entry) Reload(s setting.Settings) (restart []string) {
	reloaded := e.Settings
	reloaded.Tokens, reloaded.Peers.Seeds = s.Tokens, s.Peers.Seeds
	reloaded.Limits.ShutdownDelay, reloaded.Limits.StaleAfter = s.Limits.ShutdownDelay, s.Limits.StaleAfter
	reloaded.Limits.MaxConnections = s.Limits.MaxConnections
	e.reloaded.Store(&reloaded)
	known := reloaded
	known.Listen = e.configuredListen // as configured, not as assigned by the system
	return setting.Changed(known, s)
}

// CurrentSettings returns the settings in force.
func (e *Entry) CurrentSettings() setting.Settings {
	if reloaded := e.reloaded.Load(); reloaded != nil {
		return *reloaded
	}
	return e.Settings
}
