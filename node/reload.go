// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import "github.com/yardbridge/yardbridge/modules/setting"

// Reload takes over newer settings: the bounds hold for each pool that is owned
// from now on; addresses, the name and the log are taken up at the next start.
func (n *Node) Reload(s setting.Node) {
	bounds := s.Bounds
	n.mu.Lock()
	n.newer = &bounds
	n.mu.Unlock()
	old := n.Setting
	old.Bounds = s.Bounds
	n.Logger.Info().Str("event", "reload").Str("outcome", "in force").Strs("restart_needed", setting.Changed(old, s)).
		Msg("newer settings are taken over")
}

// bounds returns the bounds in force.
func (n *Node) bounds() setting.NodeBounds {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newer != nil {
		return *n.newer
	}
	return n.Setting.Bounds
}
