// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import "time"

// Observation is what is measured of an accepted job: at its first start, or at its end.
type Observation struct {
	Queue    string
	Customer string
	At       time.Time
	Ended    bool
	Wait     time.Duration // until its first start
	Latest   time.Duration // the longest wait after which it is in time
	InTime   bool          // it ended in time
}

// Lateness returns a controller on measured waits: credits for work under way grow while jobs start
// early in their slack, and shrink by how much they start later than that.
func Lateness() Policy {
	c := &lateness{credits: minCredits}
	return Policy{Name: "lateness", Decide: c.decide, Observe: c.observe, TimelyFirst: true}
}

// The parameters of the controller.
const (
	minCredits    = 4.0
	creditPeriod  = 100 * time.Millisecond
	targetWait    = 0.4  // of the longest wait after which a job is in time
	creditGain    = 0.08 // of the credits, in each period below the target
	creditLoss    = 0.4  // of the excess, in each period above the target
	maxCreditLoss = 0.5
)

type lateness struct {
	credits  float64
	underWay int
	worst    float64 // of the waits of this period
	since    time.Time
}

func (c *lateness) decide(r Request, _ State) Decision {
	if float64(c.underWay) >= c.credits {
		return Decision{Reason: Late, Wait: r.Latest, After: max(r.Latest, time.Second)}
	}
	c.underWay++
	return Decision{Accepted: true, Reason: InTime}
}

func (c *lateness) observe(o Observation) {
	if o.Ended {
		c.underWay--
	} else {
		c.worst = max(c.worst, o.Wait.Seconds()/max(o.Latest.Seconds(), 0.05))
	}
	if o.At.Sub(c.since) < creditPeriod {
		return
	}
	c.since = o.At
	if c.worst < targetWait {
		if float64(c.underWay) > c.credits/2 {
			c.credits += max(c.credits*creditGain, 1)
		}
	} else {
		c.credits *= max(1-creditLoss*(c.worst-targetWait)/targetWait, maxCreditLoss)
	}
	c.credits, c.worst = max(c.credits, minCredits), 0
}
