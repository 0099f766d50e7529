// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import "github.com/yardbridge/yardbridge/modules/setting"

// Reload applies newer settings: the bounds take effect for each pool that the node begins to own
// from now on; addresses, the name and the log settings take effect at the next start.
func (n *Node) Reload(s setting.Node) {
	bounds := s.Bounds
	n.mu.Lock()
	n.newerBounds = &bounds
	n.mu.Unlock()
	old := n.Setting
	old.Bounds = s.Bounds
	n.Logger.Info().Str("event", "reload").Str("outcome", "in force").Strs("restart_needed", setting.Changed(old, s)).
		Msg("newer settings are applied")
}

// bounds returns the bounds in force.
func (n *Node) bounds() setting.NodeBounds {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newerBounds != nil {
		return *n.newerBounds
	}
	return n.Setting.Bounds
}
