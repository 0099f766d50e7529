// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
)

// notice is the early news that a target leaves.
type notice struct {
	boot      int // of the worker when the news came
	at        time.Time
	confirmed bool // the log has said so since
}

// noticeLife is how long news counts that the log does not confirm; a target
// may have taken back what it said of itself.
const noticeLife = time.Minute

// checkNotice drops the news once the worker has come back; h.mu is held.
func (h *Holder) checkNotice(w fleet.Worker) {
	n := h.leaving[w.ID]
	if n == nil {
		return
	}
	if w.Condition != fleet.Live {
		n.confirmed = true
		return
	}
	if n.confirmed || w.BootCount > n.boot || h.Clock.Now().Sub(n.at) > noticeLife {
		delete(h.leaving, w.ID)
	}
}

// dropOldNotices lets targets be used again of which the log has not confirmed
// in time that they leave; h.mu is held.
func (h *Holder) dropOldNotices() {
	for worker := range h.leaving {
		i, _ := h.state.Instances.Get(worker)
		h.checkNotice(i.Worker)
		if t, ok := h.targets[worker]; ok && h.leaving[worker] == nil {
			t.serving = i.Serving()
		}
	}
}

// MarkLeaving stops new requests to targets before the log says that they leave.
func (h *Holder) MarkLeaving(workers []string) (news bool) {
	h.mu.Lock()
	h.init()
	for _, w := range workers {
		if h.leaving[w] != nil {
			continue
		}
		news = true
		i, _ := h.state.Instances.Get(w)
		h.leaving[w] = &notice{boot: i.Worker.BootCount, at: h.Clock.Now(), confirmed: i.Worker.Condition != fleet.Live}
		if t, ok := h.targets[w]; ok {
			t.serving = false
		}
	}
	kicks := h.returnIdle()
	h.mu.Unlock()
	h.kickAll(kicks)
	return news
}
