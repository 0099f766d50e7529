// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
)

// notice is information that a target leaves, received before the log reports it.
type notice struct {
	boot      int // of the worker when the notice was received
	at        time.Time
	confirmed bool // the log has confirmed it since
}

// noticeTTL is how long a notice is valid that the log does not confirm; the target may have
// withdrawn it.
const noticeTTL = time.Minute

// expireNotice drops the notice of a worker once it is back in service or the notice has expired;
// h.mu is held.
func (h *Holder) expireNotice(w fleet.Worker) {
	n := h.leaving[w.ID]
	if n == nil {
		return
	}
	if w.Condition != fleet.Live {
		n.confirmed = true
		return
	}
	if n.confirmed || w.BootCount > n.boot || h.Clock.Now().Sub(n.at) > noticeTTL {
		delete(h.leaving, w.ID)
	}
}

// expireNotices makes targets usable again if the log has not confirmed in time that they leave;
// h.mu is held.
func (h *Holder) expireNotices() {
	for worker := range h.leaving {
		i, _ := h.state.Instances.Get(worker)
		h.expireNotice(i.Worker)
		if t, ok := h.targets[worker]; ok && h.leaving[worker] == nil {
			t.serving = i.Serving()
		}
	}
}

// MarkLeaving stops new requests to targets that leave before the log reports it, and returns
// whether that was new for any of them.
func (h *Holder) MarkLeaving(workers []string) (added bool) {
	h.mu.Lock()
	h.init()
	for _, w := range workers {
		if h.leaving[w] != nil {
			continue
		}
		added = true
		i, _ := h.state.Instances.Get(w)
		h.leaving[w] = &notice{boot: i.Worker.BootCount, at: h.Clock.Now(), confirmed: i.Worker.Condition != fleet.Live}
		if t, ok := h.targets[w]; ok {
			t.serving = false
		}
	}
	owners := h.returnIdle()
	h.mu.Unlock()
	h.requestExchanges(owners)
	return added
}
