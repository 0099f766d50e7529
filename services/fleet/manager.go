// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/ratelimit"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/lending"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// Manager decides on all instances while this node holds that role. Its exported fields are set
// before Claim.
type Manager struct {
	Journal   *journal.Journal
	Instances port.Instances
	Clock     clock.Clock
	Logger    log.Logger
	Node      string
	Limits    Limits
	// Config returns the newest configuration, nil before the first.
	Config func() *config.Config
	// Waves returns the maintenance waves that the operators have requested.
	Waves func() []wave.Wave
	// Evacuated returns the data centres under evacuation; nil for none.
	Evacuated func() evacuation.List
	// ReportWave reports to the operators that a wave is running or done.
	ReportWave func(ctx context.Context, wave int, done bool) error
	// UpdateAllowances queries a pool's owner for its quota report and may send it new allowances.
	UpdateAllowances func(ctx context.Context, pool string, q quota.Query) (quota.Report, error)
	// RequestReport requests a pool's report from its owner and sends it the cordons.
	RequestReport func(ctx context.Context, pool string, cordons scheduler.CordonRequest) (scheduler.Report, error)
	// OnProgress is told after each plan how far the instances of all pools are; nil for no call.
	OnProgress func(Progress)

	claimedAt  time.Time  // when the role was claimed; no earlier holder persists anything after that
	lastHolder holderTime // of the last holder

	done     chan struct{}
	reported chan struct{} // signals that the pools have reported
	requests uint64        // requests to owners so far
	list     lister
	view     view
	limiter  ratelimit.Limiter
	lender   lending.Lender
	querying map[string]bool        // pools with an allowance query in progress
	orders   map[string]intent      // newest order to each instance
	surges   map[string]surgeRecord // as persisted, by pool
	mu       sync.Mutex
}

// Limits are the limits of orders to instances.
type Limits struct {
	MaintenanceTime time.Duration // duration of a maintenance
	HolderLease     time.Duration // minimum time between orders of two holders to one instance
	OrdersPerSecond float64       // orders that the platform accepts from all nodes together, 0 for no limit
	MoveWorth       time.Duration // idling of an instance that is worth its move away and back, 0 for DefaultMoveWorth
}

// Prefixes of the keys in the manager's journal.
const (
	keyIntent = "i/" // followed by the instance's name
	keyWave   = "w/" // followed by the wave's number
	keyDone   = "d/" // followed by the wave's number and the instance's name

	keySurge = "s/" // followed by the pool's name

	keyHolderTime = "t" // the time on the holder's clock
)

// Time constants of the manager.
const (
	period        = 120 * time.Millisecond // from one plan to the next
	confirmAfter  = 500 * time.Millisecond // without an append, until the store is asked to confirm that the role is still held
	reportTimeout = 400 * time.Millisecond
	// unsettled is how long an order with an unknown outcome may still take effect.
	unsettled = 8 * time.Second
	// intentAge is the maximum age of an intent when its order is sent.
	intentAge = 500 * time.Millisecond
	// orderTransit is the maximum time from sending an order until the platform receives it.
	orderTransit = 500 * time.Millisecond
	// settleTime is how long a completed order may take to appear in the list.
	settleTime = 15 * time.Second
	// noEffectAfter is the time after which an instance that the list still shows in the same
	// incarnation was not taken down by the order: the order had already been done before. A new
	// order appears in the next list read, after at most two seconds.
	noEffectAfter = 3 * time.Second
)

// Claim gives this node the role, unless another node claims it at the same time, and restores the
// state that earlier holders have persisted.
func (m *Manager) Claim(ctx context.Context, node string) error {
	records, err := m.Journal.Claim(ctx, node)
	if err != nil {
		return err
	}
	m.Node, m.claimedAt, m.lastHolder = node, m.Clock.Now(), holderTime{}
	m.done = make(chan struct{})
	m.reported = make(chan struct{}, 1)
	m.querying = make(map[string]bool)
	m.list.m = m
	m.limiter = ratelimit.Limiter{PerSecond: m.Limits.OrdersPerSecond, Clock: m.Clock}
	m.lender = lending.Lender{Epoch: m.Epoch(), Logger: m.Logger}
	m.orders = make(map[string]intent)
	m.surges = make(map[string]surgeRecord)
	m.view = view{
		pools: make(map[string]*poolState), actions: make(map[string]*action), barred: make(map[barredMove]string), maintenanceTime: m.Limits.MaintenanceTime,
		ordersPerSecond: m.Limits.OrdersPerSecond, moveWorth: m.Limits.MoveWorth,
	}
	if err := m.restore(records); err != nil {
		return err
	}
	m.Logger.Info().Str("event", "claim").Uint64("epoch", m.Epoch()).Int("records", len(records)).Str("outcome", "holder").
		Int("intents", len(m.orders)).Msg("role for instances claimed")
	return nil
}

// Epoch returns the fencing token of orders.
func (m *Manager) Epoch() uint64 { return m.Journal.Epoch() }

// Size returns the number of instances of all pools, 0 before they were first read.
func (m *Manager) Size() int { return len(m.list.newest().instances) }

// Done returns a channel that is closed once the role is no longer held.
func (m *Manager) Done() <-chan struct{} { return m.done }

// restore loads the journal records of earlier holders.
func (m *Manager) restore(records []port.Record) error {
	done := make(map[int][]string)
	seen := make(map[int]time.Time)
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		if err := m.lender.Restore(r, m.Clock.Now()); err != nil {
			return err
		}
		if _, isIntent := strings.CutPrefix(r.Key, keyIntent); isIntent {
			var i intent
			if err := codec.Unmarshal(r.Value, &i); err != nil {
				return err
			}
			m.orders[i.Instance] = i
		}
		if pool, isSurge := strings.CutPrefix(r.Key, keySurge); isSurge {
			var known surgeRecord
			if err := codec.Unmarshal(r.Value, &known); err != nil {
				return err
			}
			m.surges[pool] = known
		}
		if r.Key == keyHolderTime {
			if err := codec.Unmarshal(r.Value, &m.lastHolder); err != nil {
				return err
			}
		}
		if name, isWave := strings.CutPrefix(r.Key, keyWave); isWave {
			var at int64
			if err := codec.Unmarshal(r.Value, &at); err != nil {
				return err
			}
			if n, err := strconv.Atoi(name); err == nil {
				seen[n] = m.Clock.FromWallTime(time.UnixMilli(at))
			}
		}
		if name, isDone := strings.CutPrefix(r.Key, keyDone); isDone {
			number, instance, _ := strings.Cut(name, "/")
			if n, err := strconv.Atoi(number); err == nil {
				done[n] = append(done[n], instance)
			}
		}
	}
	for n, at := range seen {
		w := &waveState{Wave: wave.Wave{Number: n}, seen: at, done: make(map[string]bool)}
		for _, instance := range done[n] {
			w.done[instance] = true
		}
		m.view.waves = append(m.view.waves, w)
	}
	for name, i := range m.orders {
		if !i.OutcomeKnown {
			m.view.actions[name] = &action{
				instance: name, worker: i.Worker, startedAt: i.StartedAt, from: i.From, to: i.To, wave: i.Wave, stage: ordered,
				began: m.Clock.FromWallTime(time.UnixMilli(i.At)), sent: m.Clock.FromWallTime(time.UnixMilli(i.At)),
			}
		}
	}
	return nil
}

// Run performs the role until the context ends or another node holds it.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.done)
	ctx, cancel := context.WithCancel(ctx)
	loop := allowanceLoop{m, make(chan error, 1)}
	go loop.run(ctx)
	var listing sync.WaitGroup
	listing.Go(func() { m.list.run(ctx) })
	err := m.steps(ctx, loop.ended)
	cancel()
	<-loop.ended
	listing.Wait()
	return err
}

// steps performs the role until the context ends, another node holds it, or the channel delivers
// the reason for the end.
func (m *Manager) steps(ctx context.Context, ended chan error) error {
	for {
		if err := m.step(ctx); err != nil {
			return err
		}
		if m.Clock.Now().Sub(m.Journal.LastResponse()) > confirmAfter {
			if err := m.append(ctx, nil); err != nil {
				return err
			}
		}
		select {
		case <-m.Clock.After(period):
		case err := <-ended:
			ended <- err
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// step makes one plan and executes it. An error ends the role.
func (m *Manager) step(ctx context.Context) error {
	c := m.Config()
	if c == nil {
		return nil
	}
	if err := m.acceptWaves(ctx); err != nil {
		return err
	}
	list := m.list.newest()
	if list.instances == nil {
		m.collectReports(ctx, c)
		return nil
	}
	m.view.instances, m.view.names, m.view.listedAt = list.instances, list.names, list.readAt
	m.view.now = m.Clock.Now()
	m.view.headroom = c.Headroom()
	if m.Evacuated != nil {
		m.view.evacuated = m.Evacuated()
	}
	m.settle()
	m.collectReports(ctx, c)
	m.dropMoves()
	planned := m.Clock.Now()
	began := m.view.plan()
	m.view.planTime = m.Clock.Now().Sub(planned)
	m.logCapacity()
	if m.OnProgress != nil {
		m.OnProgress(m.view.progress())
	}
	for _, a := range began {
		m.Logger.Info().Str("event", "action").Str("instance", a.instance).Str("worker", string(a.worker)).Str("from", a.from).
			Str("to", a.to).Int("wave", a.wave).Int("level", m.view.level(a.to)).Int("supply", m.view.supply(a.to)).
			Bool("exchange", a.exchange).Msg("action on an instance begun")
	}
	m.cordon(ctx, began)
	if err := m.act(ctx); err != nil {
		return err
	}
	if err := m.persistSurges(ctx); err != nil {
		return err
	}
	return m.reportWaves(ctx)
}

// logCapacity logs each pool's need, its supply and what serves of it when they have changed.
func (m *Manager) logCapacity() {
	for _, name := range slices.Sorted(maps.Keys(m.view.pools)) {
		p := m.view.pools[name]
		supply, of := m.view.supply(name), m.view.prospects[name]
		if p.logged == (capacityLogged{p.softNeed(), supply, of.Serving}) {
			continue
		}
		p.logged = capacityLogged{p.softNeed(), supply, of.Serving}
		m.Logger.Info().Str("event", "capacity").Str("of", name).Int("need", p.need).Int("level", p.level).Str("kept_for", p.reason()).Int("expected", p.expected).Int("supply", supply).
			Int("serving", of.Serving).Int("on_way", of.OnWay).Int("promised", of.Promised).Interface("arriving", of.arriving).Interface("potential", of.potential).
			Int("lasting_cpu", p.report.Lasting.CPU).Int("running_cpu", p.report.Running.CPU).Int("waiting_cpu", p.report.Waiting.CPU).
			Int("arrives_cpu", p.report.ArrivalLoad.CPU).Int("presses_cpu", p.report.Required.CPU).
			Dur("age", m.Clock.Now().Sub(p.reportedAt)).Dur("list_age", m.Clock.Now().Sub(m.view.listedAt)).Int("instances", len(m.view.instances)).
			Dur("plan_time", m.view.planTime).Msg("a pool's need, its supply or what serves of it has changed")
	}
	for _, name := range slices.Sorted(maps.Keys(m.view.pools)) {
		m.logLabels(name, m.view.pools[name])
	}
}

// logLabels logs how many instances a pool lacks by label when that has changed.
func (m *Manager) logLabels(name string, p *poolState) {
	lacks := make(map[string]int, len(p.report.Labels))
	for label := range p.report.Labels {
		lacks[label] = m.view.lackLabel(name, label)
	}
	if maps.Equal(lacks, p.loggedLacks) {
		return
	}
	p.loggedLacks = lacks
	m.Logger.Info().Str("event", "capacity").Str("of", name).Interface("lacks", lacks).Msg("the instances that a pool lacks by label have changed")
}

// acceptWaves accepts the operators' waves and persists when each was first seen.
func (m *Manager) acceptWaves(ctx context.Context) error {
	for _, o := range m.Waves() {
		at := slices.IndexFunc(m.view.waves, func(w *waveState) bool { return w.Number == o.Number })
		if at >= 0 {
			m.view.waves[at].Wave = o
			continue
		}
		now := m.Clock.Now()
		value, err := codec.Marshal(m.Clock.WallTime(now).UnixMilli())
		if err != nil {
			return err
		}
		if err := m.append(ctx, []port.Record{{Key: keyWave + strconv.Itoa(o.Number), Value: value}}); err != nil {
			return err
		}
		m.view.waves = append(m.view.waves, &waveState{Wave: o, seen: now, done: make(map[string]bool)})
		m.Logger.Info().Str("event", "wave").Int("wave", o.Number).Int("instances", len(o.Instances)).Int("at_once", o.MaxConcurrent).
			Dur("within", o.TimeLimit).Str("outcome", "begun").Msg("maintenance wave accepted")
		m.reportWave(ctx, o.Number, false)
	}
	return nil
}

// settle removes the actions whose effect the list shows, and those whose instance has changed
// otherwise.
func (m *Manager) settle() {
	for name, a := range m.view.actions {
		i, there := m.view.instances[name]
		switch {
		case !there:
		case a.finished(i, m.view.listedAt):
		case a.stage == settling && m.view.now.Sub(a.sent) > settleTime:
		case a.stage == settling && !m.ended(a) && m.view.listedAt.Sub(a.sent) > noEffectAfter:
		case a.stage == ordered && i.Condition == port.Up && i.Worker != a.worker && a.to == "":
			// The order may have been carried out, or the instance has crashed. It is sent again
			// for the new incarnation. A maintenance that was already done gets a response that
			// reports it as done.
			a.worker, a.from, a.stage = i.Worker, i.Pool, emptying
			continue
		case a.stage == ordered && i.Condition == port.Up && i.Worker != a.worker:
		case a.stage == emptying && (i.Worker != a.worker || i.Pool != a.from || i.Condition != port.Up):
		default:
			continue
		}
		delete(m.view.actions, name)
	}
}

// collectReports requests the reports of all pools at once.
func (m *Manager) collectReports(ctx context.Context, c *config.Config) {
	var pools []string
	for _, p := range c.Pools {
		if !p.Headroom {
			pools = append(pools, p.Name)
		}
	}
	m.requestReports(ctx, pools)
	select {
	case m.reported <- struct{}{}:
	default:
	}
}

// requestReports requests reports from the owners of pools at once.
func (m *Manager) requestReports(ctx context.Context, pools []string) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requests := make([]scheduler.CordonRequest, len(pools)) // all are built before a response changes the view
	for i, pool := range pools {
		requests[i] = m.cordons(pool)
	}
	var group sync.WaitGroup
	for i, pool := range pools {
		group.Go(func() { m.requestReport(bounded, pool, requests[i]) })
	}
	group.Wait()
}

// cordon sends the cordons of new actions at once, so that empty workers need not wait for the next
// plan.
func (m *Manager) cordon(ctx context.Context, began []*action) {
	var pools []string
	for _, a := range began {
		if a.worker != "" && !slices.Contains(pools, a.from) {
			pools = append(pools, a.from)
		}
	}
	m.requestReports(ctx, pools)
}

// requestReport requests and applies the report of one pool.
func (m *Manager) requestReport(ctx context.Context, pool string, cordons scheduler.CordonRequest) {
	r, err := m.RequestReport(ctx, pool, cordons)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.Logger.Debug().Str("event", "report").Str("pool", pool).Err(err).Msg("no report from the pool's owner")
		return
	}
	p := m.view.pools[pool]
	if p == nil {
		p = &poolState{surge: m.surges[pool].restored()}
	}
	full, usable := p.reported.apply(r)
	if !usable {
		m.Logger.Info().Str("event", "report").Str("pool", pool).Uint64("epoch", r.Epoch).Uint64("number", r.Number).Uint64("base", r.Base).
			Str("outcome", "not used").Msg("a pool's report is outdated, or an earlier one was not received")
		return
	}
	m.view.pools[pool] = p
	p.report, p.reportedAt = full, m.Clock.Now()
	m.lender.ApplyReport(pool, r.Quota, p.reportedAt)
}

// cordons returns the cordon request for a pool: the workers on which nothing may be placed, and
// those whose incarnations have ended.
func (m *Manager) cordons(pool string) scheduler.CordonRequest {
	m.requests++
	request := scheduler.CordonRequest{Epoch: m.Epoch(), Number: m.requests, Since: &scheduler.ReportPosition{}}
	if p := m.view.pools[pool]; p != nil {
		*request.Since = p.reported.at
	}
	request.Arriving, request.Potential = m.view.told(pool, m.Clock.Now())
	for _, a := range m.view.actions {
		switch {
		case a.from != pool || a.worker == "":
		case a.stage == settling && m.ended(a):
			request.Ended = append(request.Ended, worker.Incarnation{ID: a.worker, StartedAt: a.startedAt})
		default:
			request.Workers = append(request.Workers, scheduler.CordonedWorker{ID: a.worker, MaintenanceRequired: a.to == ""})
		}
	}
	m.mu.Lock()
	request.Accounts = m.lender.WantedAccounts()
	m.mu.Unlock()
	slices.SortFunc(request.Workers, func(a, b scheduler.CordonedWorker) int { return cmp.Compare(a.ID, b.ID) })
	return request
}

// reportWaves reports completed waves to the operators.
func (m *Manager) reportWaves(ctx context.Context) error {
	for _, w := range m.view.waves {
		if w.reported || len(w.Instances) == 0 || len(w.left(m.view.instances)) > 0 {
			continue
		}
		w.reported = m.reportWave(ctx, w.Number, true)
	}
	return nil
}

// reportWave reports the state of a wave to the operators and returns whether the report is
// persisted.
func (m *Manager) reportWave(ctx context.Context, number int, done bool) bool {
	err := m.ReportWave(ctx, number, done)
	m.Logger.Info().Str("event", "wave").Int("wave", number).Bool("completed", done).AnErr("err", err).Msg("state of a wave reported")
	return err == nil
}
