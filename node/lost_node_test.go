// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// TestMachineLostInARollingRestart guards against pools that stay without an owner for more than a minute because the
// nodes that remain have registered anew since the owner claimed its pools, whichever machine is lost, and when.
func TestMachineLostInARollingRestart(t *testing.T) {
	t.Parallel()
	const (
		nodes     = 4
		restartAt = 6 * time.Second
		apart     = 1130 * time.Millisecond
		away      = 2800 * time.Millisecond // of a node that is stopped
		ownedIn   = 12 * time.Second        // RecoveryS of the users' pages
	)
	for _, after := range []time.Duration{2600 * time.Millisecond, 4400 * time.Millisecond, 6600 * time.Millisecond, 9 * time.Second} {
		for lost := 1; lost <= nodes; lost++ {
			if stoppedAt := time.Duration(lost-1) * apart; stoppedAt < after && after < stoppedAt+away {
				continue // the machine is lost while its node is stopped, which owns no pools
			}
			t.Run(fmt.Sprintf("node %d after %s", lost, after), func(t *testing.T) {
				t.Parallel()
				s := script{
					Seed: 7, Nodes: nodes, Off: 2, Until: tomlfile.Duration(restartAt + after + ownedIn), MayRemain: true,
					Pools: []scriptPool{{Name: "alpha", Workers: 5, Racks: 2}, {Name: "beta", Workers: 4, Racks: 2}, {Name: "gamma", Workers: 3, Racks: 2}},
				}
				for n := 1; n <= nodes; n++ {
					at := restartAt + time.Duration(n-1)*apart
					if n != lost || at < restartAt+after {
						s.Events = append(s.Events, scriptEvent{At: tomlfile.Duration(at), Kind: "stop", Node: n, For: tomlfile.Duration(away)})
					}
				}
				s.Events = append(s.Events, scriptEvent{At: tomlfile.Duration(restartAt + after), Kind: "lose", Node: lost})
				watchScript(t, s, func(st *scenario) {
					time.Sleep(s.Until.Std())
					n := st.readyNode()
					if n == nil {
						st.fail("no node is ready")
						return
					}
					v, _ := n.Directory.View()
					for pool := range v.Pools {
						if _, o, owned := v.Owner(pool); !owned {
							st.fail("pool %s has no owner %s after the loss: %+v", pool, ownedIn, o)
						}
					}
				})
			})
		}
	}
}
