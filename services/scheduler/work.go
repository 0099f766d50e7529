// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

// Work counts the work of a pool since it was opened, by kind.
type Work struct {
	Plans    uint64 // plans that were made
	Examined uint64 // workers, and runs on workers, that were looked at to place a task
	Placed   uint64 // runs that were planned, those placed ahead included
	Released uint64 // runs placed ahead whose order was not sent
	Started  uint64 // responses to start orders
	Withheld uint64 // orders that were not sent as they had become invalid
	Polled   uint64 // responses to polls
}

// Minus returns the work since an earlier count.
func (w Work) Minus(o Work) Work {
	return Work{
		Plans: w.Plans - o.Plans, Examined: w.Examined - o.Examined, Placed: w.Placed - o.Placed, Released: w.Released - o.Released,
		Started: w.Started - o.Started, Withheld: w.Withheld - o.Withheld, Polled: w.Polled - o.Polled,
	}
}

// Work returns the work of the pool since it was opened.
func (p *Pool) Work() Work { return p.work }
