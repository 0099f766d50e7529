// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import "github.com/yardbridge/yardbridge/modules/setting"

// Reload takes over newer settings: the tokens, the seeds and the times that are
// looked up at each use. It returns the keys of the others that differ, which are
// taken up at the next start.
func (e *Entry) Reload(s setting.Settings) (restart []string) {
	newer := e.Setting
	newer.Tokens, newer.Peers.Seeds = s.Tokens, s.Peers.Seeds
	newer.Limits.ShutdownDelay, newer.Limits.StaleAfter = s.Limits.ShutdownDelay, s.Limits.StaleAfter
	newer.Limits.MaxConnections = s.Limits.MaxConnections
	e.newer.Store(&newer)
	known := newer
	known.Listen = e.listen // as the file said, and not as the system gave it
	return setting.Changed(known, s)
}

// CurrentSetting returns the settings in force.
func (e *Entry) CurrentSetting() setting.Settings {
	if newer := e.newer.Load(); newer != nil {
		return *newer
	}
	return e.Setting
}
