// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// reportingPool is a pool whose owners report to a holder of the role for instances.
type reportingPool struct {
	t       testing.TB
	now     time.Time
	epoch   uint64
	older   bool // the owner is of the version that reports all workers and no numbers
	log     scheduler.ReportLog
	workers map[worker.ID]scheduler.WorkerReport
	emptyAt map[worker.ID]time.Time
	holder  poolReport
	view    scheduler.Report // as the holder has put it together
}

func newReportingPool(t testing.TB, workers int) *reportingPool {
	p := &reportingPool{t: t, now: time.Unix(1000, 0), epoch: 1, workers: make(map[worker.ID]scheduler.WorkerReport), emptyAt: make(map[worker.ID]time.Time)}
	for n := range workers {
		p.set(n, 0, 0)
	}
	return p
}

// set sets a worker with a number of runs, which end after a time.
func (p *reportingPool) set(n, runs int, emptyAfter time.Duration) {
	id := worker.ID(fmt.Sprintf("i-%010d", n))
	p.workers[id] = scheduler.WorkerReport{
		ID: id, Instance: fmt.Sprintf("m-%08d", n), StartedAt: 1764720000000000, Open: true, Runs: runs, Used: job.Size{CPU: 6000 * runs, MemoryMB: 11000 * runs},
	}
	p.emptyAt[id] = p.now.Add(emptyAfter)
}

// remove removes a worker.
func (p *reportingPool) remove(n int) { delete(p.workers, worker.ID(fmt.Sprintf("i-%010d", n))) }

// full returns the report with all workers.
func (p *reportingPool) full() scheduler.Report {
	r := scheduler.Report{Epoch: p.epoch}
	for id, w := range p.workers {
		w.EmptyAfter = max(p.emptyAt[id].Sub(p.now), 0)
		r.Workers = append(r.Workers, w)
	}
	return r
}

// respond returns the response to a request of the holder.
func (p *reportingPool) respond() scheduler.Report {
	r := p.full()
	if !p.older {
		r = p.log.Shorten(r, p.holder.at, p.now)
	}
	data, err := json.Marshal(r)
	assert.NilError(p.t, err)
	var received scheduler.Report
	assert.NilError(p.t, json.Unmarshal(data, &received))
	return received
}

// receive gives a response to the holder and reports whether it was used.
func (p *reportingPool) receive(r scheduler.Report) bool {
	full, used := p.holder.apply(r)
	if used {
		p.view = full
	}
	return used
}

// exchange makes a request whose response arrives, and checks the holder's view.
func (p *reportingPool) exchange() scheduler.Report {
	p.t.Helper()
	r := p.respond()
	assert.Assert(p.t, p.receive(r))
	p.checkView()
	return r
}

// viewTolerance is by how much the time until a worker is empty may differ in the holder's view.
const viewTolerance = 50 * time.Millisecond

// checkView checks that the holder knows what a full report would say now.
func (p *reportingPool) checkView() {
	p.t.Helper()
	is, want := byID(p.view), byID(p.full())
	same := func(seen, w scheduler.WorkerReport) bool {
		near := (seen.EmptyAfter - w.EmptyAfter).Abs() <= viewTolerance
		seen.EmptyAfter = w.EmptyAfter
		return near && seen == w
	}
	if !maps.EqualFunc(is, want, same) {
		p.t.Fatalf("the holder's view is %v, the pool %v", is, want)
	}
}

func byID(r scheduler.Report) map[worker.ID]scheduler.WorkerReport {
	workers := make(map[worker.ID]scheduler.WorkerReport)
	for _, w := range r.Workers {
		workers[w.ID] = w
	}
	return workers
}

// TestReportsCarryWhatChanged guards against reports of all workers where few have changed, also while runs
// come nearer to their end, and against changes that are not told.
func TestReportsCarryWhatChanged(t *testing.T) {
	p := newReportingPool(t, 100)
	p.set(1, 2, 3*time.Second)
	assert.Equal(t, len(p.exchange().Workers), 100)
	for range 10 {
		p.now = p.now.Add(period)
		assert.Equal(t, len(p.exchange().Workers), 0)
	}
	p.set(2, 1, time.Second)
	p.remove(3)
	p.now = p.now.Add(period)
	r := p.exchange()
	assert.Equal(t, len(r.Workers), 1)
	assert.DeepEqual(t, r.Removed, []worker.ID{"i-0000000003"})
	p.emptyAt["i-0000000001"] = p.emptyAt["i-0000000001"].Add(viewTolerance + time.Millisecond)
	assert.Equal(t, len(p.exchange().Workers), 1)
}

// TestLostReportLeavesNoGap guards against changes that are told once only: the response that carried them
// is lost, and a worker that was removed, or is no longer empty, stays so in the holder's view.
func TestLostReportLeavesNoGap(t *testing.T) {
	p := newReportingPool(t, 10)
	p.exchange()
	p.set(1, 2, time.Second)
	p.remove(2)
	p.respond() // lost
	p.set(3, 1, time.Second)
	p.respond() // lost
	p.exchange()
	p.exchange()
}

// TestLateReportIsNotUsed guards against the response to an earlier request that arrives after that to a
// later one: a worker that runs again would count as empty.
func TestLateReportIsNotUsed(t *testing.T) {
	p := newReportingPool(t, 10)
	p.exchange()
	p.remove(4)
	late := p.respond()
	p.set(4, 1, time.Second)
	p.exchange()
	assert.Assert(t, !p.receive(late))
	p.checkView()
	p.holder = poolReport{}
	p.remove(4)
	late = p.respond()
	assert.Equal(t, late.Base, uint64(0))
	p.set(4, 1, time.Second)
	p.exchange()
	assert.Assert(t, !p.receive(late), "a full one")
	p.checkView()
}

// TestReportAfterAGapIsFull guards against changes since a report that the holder does not have.
func TestReportAfterAGapIsFull(t *testing.T) {
	p := newReportingPool(t, 10)
	p.exchange()
	p.set(1, 1, time.Second)
	gap := p.respond()
	gap.Base++
	assert.Assert(t, !p.receive(gap))
	assert.Equal(t, p.exchange().Base, uint64(0))
}

// TestReportOfTheNextOwnerIsFull guards against the changes of one owner that are added to the reports of
// another one whose numbers are the same, and against a late report of the earlier one.
func TestReportOfTheNextOwnerIsFull(t *testing.T) {
	p := newReportingPool(t, 10)
	late := p.respond()
	assert.Equal(t, late.Base, uint64(0))
	p.exchange()
	p.epoch, p.log = 2, scheduler.ReportLog{}
	p.remove(1)
	for range 5 {
		p.respond() // lost
	}
	p.set(7, 1, time.Second)
	assert.Equal(t, p.exchange().Base, uint64(0))
	assert.Assert(t, !p.receive(late))
	p.checkView()
}

// TestReportToTheNextHolderIsFull guards against changes that are sent to a holder that has not had what they
// change, and against removed workers that are forgotten once the next holder knows of them while the earlier
// one still asks.
func TestReportToTheNextHolderIsFull(t *testing.T) {
	p := newReportingPool(t, 10)
	p.exchange()
	earlier := p.holder
	p.remove(5)
	p.holder = poolReport{}
	assert.Equal(t, p.exchange().Base, uint64(0))
	p.exchange()
	p.exchange()
	p.holder = earlier
	assert.Equal(t, p.exchange().Base, uint64(0))
}

// TestReportsOfOlderVersions guards against an owner of the version that reports all workers without numbers,
// whose removed workers stay, and against changes that are sent to a holder that does not ask for them.
func TestReportsOfOlderVersions(t *testing.T) {
	p := newReportingPool(t, 10)
	p.exchange()
	p.epoch, p.older = 2, true
	p.remove(1)
	p.exchange()
	p.remove(2)
	p.exchange()
	p.epoch, p.older, p.log = 3, false, scheduler.ReportLog{}
	assert.Equal(t, p.exchange().Base, uint64(0))
	request, err := json.Marshal(scheduler.CordonRequest{Epoch: 1, Number: 1})
	assert.NilError(t, err)
	var received scheduler.CordonRequest
	assert.NilError(t, json.Unmarshal(request, &received))
	assert.Assert(t, received.Since == nil)
}

// TestRandomReportHistories guards against a view that differs from what full reports would tell, in random
// histories of workers that come, go and change, responses that are lost or come late, and owners, of both
// versions, and holders that are replaced.
func TestRandomReportHistories(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := newReportingPool(t, 1+random.IntN(20))
		var late []scheduler.Report
		for range 200 {
			p.now = p.now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			for range random.IntN(4) {
				if n := random.IntN(25); random.IntN(3) == 0 {
					p.remove(n)
				} else {
					p.set(n, random.IntN(3), time.Duration(random.IntN(3000))*time.Millisecond)
				}
			}
			switch random.IntN(16) {
			case 0:
				p.epoch, p.older, p.log = p.epoch+1, random.IntN(3) == 0, scheduler.ReportLog{}
			case 1:
				p.holder, late = poolReport{}, nil // its calls ended with it
			case 2, 3:
				p.respond()
			case 4, 5:
				late = append(late, p.respond())
			case 6:
				if len(late) > 0 && !p.older {
					r, at := late[random.IntN(len(late))], p.holder.at
					newer := r.Number == 0 && r.Epoch == at.Epoch || r.Epoch > at.Epoch || r.Epoch == at.Epoch && r.Number > at.Number
					assert.Assert(t, !p.receive(r) || newer, "seed %d: report %d of epoch %d is used after %v", seed, r.Number, r.Epoch, at)
				}
			default:
				if r := p.respond(); p.receive(r) {
					p.checkView()
				} else {
					assert.Assert(t, r.Base > 0, "seed %d: a full report is refused", seed)
				}
			}
		}
		p.respond()
		p.exchange()
	}
}

// TestBytesOfReports guards against reports whose size goes by the workers of a pool and not by those that
// have changed: of 1,200 and 3,000 workers, all of which run tasks, one in 50 changes between two reports.
func TestBytesOfReports(t *testing.T) {
	for _, workers := range []int{1200, 3000} {
		p := newReportingPool(t, 0)
		for n := range workers {
			p.set(n, 2, 2*time.Second)
		}
		bytes := func(r scheduler.Report) int {
			data, err := json.Marshal(r)
			assert.NilError(t, err)
			return len(data)
		}
		full := bytes(p.exchange())
		p.now = p.now.Add(period)
		same := bytes(p.exchange())
		for n := 0; n < workers; n += 50 {
			p.set(n, 1, time.Second)
		}
		p.now = p.now.Add(period)
		changed := bytes(p.exchange())
		t.Logf("%d workers: %d bytes in full, %d with one in 50 changed, %d without a change", workers, full, changed, same)
		assert.Assert(t, full > 150*workers)
		assert.Assert(t, changed < full/25, "%d bytes of %d", changed, full)
		assert.Assert(t, same < 1000, "%d bytes", same)
	}
}

// BenchmarkReport is the work of owner and holder for a report of 3,000 workers, one in 50 of which has
// changed: in full, and with what has changed.
func BenchmarkReport(b *testing.B) {
	for _, older := range []bool{true, false} {
		b.Run(map[bool]string{true: "full", false: "changes"}[older], func(b *testing.B) {
			p := newReportingPool(b, 3000)
			p.older = older
			p.receive(p.respond())
			for b.Loop() {
				p.now = p.now.Add(period)
				for n := 0; n < 3000; n += 50 {
					p.set(n, 1+p.now.Nanosecond()%5, time.Second)
				}
				p.receive(p.respond())
			}
		})
	}
}
