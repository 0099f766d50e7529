// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import "time"

// neededFor is for how long an instance that its pool can't do without is not moved: what may run nowhere else has
// often more of its kind after it.
const neededFor = 10 * time.Second

// dropMoves gives up the moves of instances that are being emptied though their pool can't do without them. A maintenance
// goes on, as does the move out of a data centre under evacuation.
func (m *Manager) dropMoves() {
	v := &m.view
	for name, until := range v.needed {
		if !v.now.Before(until) {
			delete(v.needed, name)
		}
	}
	for pool, p := range v.pools {
		for _, w := range p.report.Workers {
			a := v.actions[w.Instance]
			if !w.Needed || a == nil || a.worker != w.ID || a.stage != emptying || a.to == "" || v.evacuated.Has(v.instances[w.Instance].DataCenter) {
				continue
			}
			if v.needed == nil {
				v.needed = make(map[string]time.Time)
			}
			v.needed[w.Instance] = v.now.Add(neededFor)
			delete(v.actions, w.Instance)
			m.Logger.Info().Str("event", "action").Str("instance", w.Instance).Str("worker", string(w.ID)).Str("from", pool).Str("to", a.to).
				Dur("after", v.now.Sub(a.began)).Str("outcome", "given up").Msg("an instance stays, as its pool can't do without it")
		}
	}
}
