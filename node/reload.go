// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import "github.com/yardbridge/yardbridge/modules/setting"

// Reload applies newer settings: the bounds and the admission policy take effect for each pool that the
// node begins to own from now on; addresses, the name and the log settings take effect at the next start.
func (n *Node) Reload(s setting.Node) {
	n.mu.Lock()
	n.newerSetting = &s
	n.mu.Unlock()
	old := n.Setting
	old.Bounds, old.Admission = s.Bounds, s.Admission
	n.Logger.Info().Str("event", "reload").Str("outcome", "in force").Strs("restart_needed", setting.Changed(old, s)).
		Msg("newer settings are applied")
}

// bounds returns the bounds in force.
func (n *Node) bounds() setting.NodeBounds { return n.newestSetting().Bounds }

// newestSetting returns the settings that were read last.
func (n *Node) newestSetting() setting.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newerSetting != nil {
		return *n.newerSetting
	}
	return n.Setting
}
