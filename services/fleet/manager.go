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
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/lending"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// Manager decides on all instances while this node has that duty; its fields are
// set before Claim.
type Manager struct {
	Journal   *journal.Journal
	Instances port.Instances
	Clock     clock.Clock
	Logger    log.Logger
	Node      string
	Limits    Limits
	// Config returns the newest configuration, nil before the first.
	Config func() *config.Config
	// Waves returns the waves that the operators have asked for.
	Waves func() []wave.Wave
	// ReportWave tells the operators that a wave runs or is done.
	ReportWave func(ctx context.Context, wave int, done bool) error
	// UpdateAllowances asks a pool's owner for what it tells of its allowances, and may give it others.
	UpdateAllowances func(ctx context.Context, pool string, q quota.Query) (quota.Report, error)
	// RequestReport asks a pool's owner for its report, and for cordons.
	RequestReport func(ctx context.Context, pool string, asked scheduler.CordonRequest) (scheduler.Report, error)

	done     chan struct{}
	reported chan struct{} // pools have reported
	asked    uint64        // questions to owners so far
	view     view
	lends    lending.Lender
	asking   map[string]bool   // pools whose owner is being asked about allowances
	past     map[string]intent // newest order to each instance
	mu       sync.Mutex
}

// Limits are the bounds of orders to instances.
type Limits struct {
	MaintenanceTime time.Duration // that a maintenance takes
	HolderLease     time.Duration // between the orders of two holders to one instance
}

// The keys of the manager's journal begin with these.
const (
	keyIntent = "i/" // with the instance's name
	keyWave   = "w/" // with the wave's number
	keyDone   = "d/" // with the wave's number and the instance's name
)

// The pace of the manager.
const (
	period        = 120 * time.Millisecond // from one plan to the next
	listTimeout   = time.Second
	confirmAfter  = time.Second // without an append, until the store is asked whether the duty is still held
	reportTimeout = 400 * time.Millisecond
	// unsettled is for how long an order whose outcome is not known may be carried
	// out yet.
	unsettled = 8 * time.Second
	// intentAge is how old an intent may be when its order is given: another
	// holder counts from the intent's time until it may order the instance.
	intentAge = 500 * time.Millisecond
	// clocks is by how much the clocks of two nodes may differ.
	clocks = 500 * time.Millisecond
	// settleTime is how long a done order may take to show in the list.
	settleTime = 15 * time.Second
	// doneBefore is after which time an instance that the list shows in the same
	// life was not taken down by an order: it had been done before. An order shows
	// in the list with the next reading, which takes two seconds at most.
	doneBefore = 3 * time.Second
)

// Claim gives this node the duty, unless another claims it at the same time, and
// takes over what earlier holders have kept.
func (m *Manager) Claim(ctx context.Context, node string) error {
	records, err := m.Journal.Claim(ctx, node)
	if err != nil {
		return err
	}
	m.Node = node
	m.done = make(chan struct{})
	m.reported = make(chan struct{}, 1)
	m.asking = make(map[string]bool)
	m.lends = lending.Lender{Epoch: m.Epoch(), Logger: m.Logger}
	m.past = make(map[string]intent)
	m.view = view{
		pools: make(map[string]*poolState), actions: make(map[string]*action), barred: make(map[bar]bool), repair: m.Limits.MaintenanceTime,
	}
	if err := m.restore(records); err != nil {
		return err
	}
	m.Logger.Info().Str("event", "claim").Uint64("epoch", m.Epoch()).Int("records", len(records)).Str("outcome", "holder").
		Msg("the duty for instances is held")
	return nil
}

// Epoch returns the token of orders.
func (m *Manager) Epoch() uint64 { return m.Journal.Epoch() }

// Done is closed once the duty is not held any more.
func (m *Manager) Done() <-chan struct{} { return m.done }

// restore takes over the journal of earlier holders.
func (m *Manager) restore(records []port.Record) error {
	done := make(map[int][]string)
	seen := make(map[int]time.Time)
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		if err := m.lends.Restore(r, m.Clock.Now()); err != nil {
			return err
		}
		if _, isIntent := strings.CutPrefix(r.Key, keyIntent); isIntent {
			var i intent
			if err := codec.Unmarshal(r.Value, &i); err != nil {
				return err
			}
			m.past[i.Instance] = i
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
	for name, i := range m.past {
		if !i.Known {
			m.view.actions[name] = &action{
				instance: name, worker: i.Worker, born: i.Born, from: i.From, to: i.To, wave: i.Wave, stage: ordered,
				began: m.Clock.FromWallTime(time.UnixMilli(i.At)), sent: m.Clock.FromWallTime(time.UnixMilli(i.At)),
			}
		}
	}
	return nil
}

// Run does the duty until the context ends or another node holds it.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.done)
	ctx, cancel := context.WithCancel(ctx)
	loop := loan{m, make(chan error, 1)}
	go loop.run(ctx)
	err := m.steps(ctx, loop.ended)
	cancel()
	<-loop.ended
	return err
}

// steps does the duty until the context ends, another node holds it, or a channel brings why
// it must end.
func (m *Manager) steps(ctx context.Context, ended chan error) error {
	for {
		if err := m.step(ctx); err != nil {
			return err
		}
		if m.Clock.Now().Sub(m.Journal.LastResponse()) > confirmAfter {
			if err := m.Journal.Append(ctx, nil); err != nil {
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

// step looks at everything once and acts. An error ends the duty.
func (m *Manager) step(ctx context.Context) error {
	c := m.Config()
	if c == nil {
		return nil
	}
	if err := m.takeWaves(ctx); err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	list, err := m.Instances.List(bounded)
	cancel()
	if err != nil {
		m.Logger.Warn().Str("event", "instances").Err(err).Msg("the list of instances can't be read")
		m.reports(ctx, c)
		return nil
	}
	m.view.instances = make(map[string]port.Instance, len(list))
	for _, i := range list {
		m.view.instances[i.Name] = i
	}
	m.view.now = m.Clock.Now()
	m.view.headroom = c.Headroom()
	m.settle()
	m.reports(ctx, c)
	began := m.view.plan()
	m.logCapacity()
	for _, a := range began {
		m.Logger.Info().Str("event", "action").Str("instance", a.instance).Str("worker", string(a.worker)).Str("from", a.from).
			Str("to", a.to).Int("wave", a.wave).Int("level", m.view.level(a.to)).Int("supply", m.view.supply(a.to)).
			Msg("something is to be done to an instance")
	}
	m.cordon(ctx, began)
	if err := m.act(ctx); err != nil {
		return err
	}
	return m.tellWaves(ctx)
}

// logCapacity logs what pools need and have where that has changed.
func (m *Manager) logCapacity() {
	for _, name := range slices.Sorted(maps.Keys(m.view.pools)) {
		p := m.view.pools[name]
		supply := m.view.supply(name)
		if p.logged == [2]int{p.softNeed(), supply} {
			continue
		}
		p.logged = [2]int{p.softNeed(), supply}
		m.Logger.Info().Str("event", "capacity").Str("of", name).Int("need", p.need).Int("level", p.level).Int("expected", p.expected).Int("supply", supply).
			Int("lasting_cpu", p.report.Lasting.CPU).Int("running_cpu", p.report.Running.CPU).Int("waiting_cpu", p.report.Waiting.CPU).
			Int("arrives_cpu", p.report.ArrivalLoad.CPU).Int("presses_cpu", p.report.Required.CPU).
			Dur("age", m.Clock.Now().Sub(p.at)).Msg("what a pool needs or has is another")
	}
	for _, name := range slices.Sorted(maps.Keys(m.view.pools)) {
		m.logLabels(name, m.view.pools[name])
	}
}

// logLabels logs what a pool needs and has by label where that has changed.
func (m *Manager) logLabels(name string, p *poolState) {
	lacks := make(map[string]int, len(p.report.Labels))
	for label := range p.report.Labels {
		lacks[label] = m.view.lackLabel(name, label)
	}
	if maps.Equal(lacks, p.lacked) {
		return
	}
	p.lacked = lacks
	m.Logger.Info().Str("event", "capacity").Str("of", name).Interface("lacks", lacks).Msg("what a pool lacks by label is another")
}

// takeWaves takes the operators' waves, and keeps when each was seen first.
func (m *Manager) takeWaves(ctx context.Context) error {
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
		if err := m.Journal.Append(ctx, []port.Record{{Key: keyWave + strconv.Itoa(o.Number), Value: value}}); err != nil {
			return err
		}
		m.view.waves = append(m.view.waves, &waveState{Wave: o, seen: now, done: make(map[string]bool)})
		m.Logger.Info().Str("event", "wave").Int("wave", o.Number).Int("instances", len(o.Instances)).Int("at_once", o.MaxConcurrent).
			Dur("within", o.TimeLimit).Str("outcome", "begun").Msg("a wave of maintenance has come")
		m.tell(ctx, o.Number, false)
	}
	return nil
}

// settle ends the actions that the list shows to have taken effect, and those
// whose instance has changed otherwise.
func (m *Manager) settle() {
	for name, a := range m.view.actions {
		i, there := m.view.instances[name]
		switch {
		case !there:
		case a.over(i):
		case a.stage == settling && m.view.now.Sub(a.sent) > settleTime:
		case a.stage == settling && !m.ended(a) && m.view.now.Sub(a.sent) > doneBefore:
		case a.stage == ordered && i.Condition == port.Up && i.Worker != a.worker && a.to == "":
			// The order may have been carried out, or the instance has crashed. It is
			// given again for the new life; a maintenance that is done is told as such.
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

// reports asks the owners of all pools at once for their reports.
func (m *Manager) reports(ctx context.Context, c *config.Config) {
	var pools []string
	for _, p := range c.Pools {
		if !p.Headroom {
			pools = append(pools, p.Name)
		}
	}
	m.askAll(ctx, pools)
	select {
	case m.reported <- struct{}{}:
	default:
	}
}

// askAll asks the owners of pools at once.
func (m *Manager) askAll(ctx context.Context, pools []string) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	questions := make([]scheduler.CordonRequest, len(pools)) // all are made before an answer changes what is known
	for i, pool := range pools {
		questions[i] = m.cordons(pool)
	}
	var asks sync.WaitGroup
	for i, pool := range pools {
		asks.Go(func() { m.ask(bounded, pool, questions[i]) })
	}
	asks.Wait()
}

// cordon has the workers of new actions cordoned at once, so that those that are
// empty need not wait for the next plan.
func (m *Manager) cordon(ctx context.Context, began []*action) {
	var pools []string
	for _, a := range began {
		if a.worker != "" && !slices.Contains(pools, a.from) {
			pools = append(pools, a.from)
		}
	}
	m.askAll(ctx, pools)
}

// ask takes the report of one pool.
func (m *Manager) ask(ctx context.Context, pool string, asked scheduler.CordonRequest) {
	r, err := m.RequestReport(ctx, pool, asked)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.Logger.Debug().Str("event", "report").Str("pool", pool).Err(err).Msg("a pool's owner does not report")
		return
	}
	p := m.view.pools[pool]
	if p == nil {
		p = &poolState{}
		m.view.pools[pool] = p
	}
	p.report, p.at = r, m.Clock.Now()
	m.lends.ApplyReport(pool, r.Quota, p.at)
}

// cordons returns what is asked of a pool: the workers that nothing may be placed
// on, and those whose lives have been ended.
func (m *Manager) cordons(pool string) scheduler.CordonRequest {
	m.asked++
	asked := scheduler.CordonRequest{Epoch: m.Epoch(), Number: m.asked}
	for _, a := range m.view.actions {
		switch {
		case a.from != pool || a.worker == "":
		case a.stage == settling && m.ended(a):
			asked.Ended = append(asked.Ended, worker.Incarnation{ID: a.worker, StartedAt: a.born})
		default:
			asked.Workers = append(asked.Workers, scheduler.CordonedWorker{ID: a.worker, MaintenanceRequired: a.to == ""})
		}
	}
	m.mu.Lock()
	asked.Accounts = m.lends.WantedAccounts()
	m.mu.Unlock()
	slices.SortFunc(asked.Workers, func(a, b scheduler.CordonedWorker) int { return cmp.Compare(a.ID, b.ID) })
	return asked
}

// tellWaves tells the operators of the waves that are done.
func (m *Manager) tellWaves(ctx context.Context) error {
	for _, w := range m.view.waves {
		if w.told || len(w.Instances) == 0 || len(w.left(m.view.instances)) > 0 {
			continue
		}
		w.told = m.tell(ctx, w.Number, true)
	}
	return nil
}

// tell tells the operators of a wave and returns whether that is kept.
func (m *Manager) tell(ctx context.Context, number int, done bool) bool {
	err := m.ReportWave(ctx, number, done)
	m.Logger.Info().Str("event", "wave").Int("wave", number).Bool("completed", done).AnErr("err", err).Msg("a wave's state is told")
	return err == nil
}
