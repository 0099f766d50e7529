// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import "time"

// QueueLimit returns an adaptive limit of the jobs under way for each queue, with additive increase and
// multiplicative decrease by whether jobs end in time.
func QueueLimit() Policy {
	l := &queueLimit{limit: make(map[string]float64), underWay: make(map[string]int), lowered: make(map[string]time.Time)}
	return Policy{Name: "limit", Decide: l.decide, Observe: l.observe, TimelyFirst: true}
}

// The parameters of the limits.
const (
	minLimit      = 8.0
	limitDecrease = 0.9
	limitSettle   = 200 * time.Millisecond // between two decreases
)

type queueLimit struct {
	limit    map[string]float64
	underWay map[string]int
	lowered  map[string]time.Time
}

func (l *queueLimit) decide(r Request, _ State) Decision {
	if float64(l.underWay[r.Queue]) >= max(l.limit[r.Queue], minLimit) {
		return Decision{Reason: Late, Wait: r.Latest, After: max(r.Latest, time.Second)}
	}
	l.underWay[r.Queue]++
	return Decision{Accepted: true, Reason: InTime}
}

func (l *queueLimit) observe(o Observation) {
	if !o.Ended {
		return
	}
	l.underWay[o.Queue]--
	limit := max(l.limit[o.Queue], minLimit)
	switch {
	case o.InTime && float64(l.underWay[o.Queue]) > limit/2:
		limit += 4 / limit
	case !o.InTime && o.At.Sub(l.lowered[o.Queue]) > limitSettle:
		limit, l.lowered[o.Queue] = limit*limitDecrease, o.At
	}
	l.limit[o.Queue] = max(limit, minLimit)
}
