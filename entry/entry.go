// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/adapters/peerrpc"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/modules/tlsconf"
	"github.com/yardbridge/yardbridge/services/dispatch"
	"github.com/yardbridge/yardbridge/services/fleetwatch"
	"github.com/yardbridge/yardbridge/services/jobs"
	"github.com/yardbridge/yardbridge/services/leases"
	"github.com/yardbridge/yardbridge/services/ledger"
	"github.com/yardbridge/yardbridge/services/members"
	"github.com/yardbridge/yardbridge/services/once"
	"github.com/yardbridge/yardbridge/services/outlier"
	"github.com/yardbridge/yardbridge/services/platform"
	"github.com/yardbridge/yardbridge/services/pools"
	"github.com/yardbridge/yardbridge/services/rollout"
	"github.com/yardbridge/yardbridge/services/slots"
	"github.com/yardbridge/yardbridge/services/snapshots"
)

// Entry is one entry process; New creates it and Start runs it.
type Entry struct {
	Settings  setting.Settings
	Clock     clock.Clock
	Logger    log.Logger
	Metrics   *metrics.Set
	Ledger    *ledger.Ledger
	Members   *members.Table
	Lender    *slots.Lender
	Holder    *slots.Holder
	Exchanger *slots.Exchanger
	Outliers  *outlier.Detector
	Dispatch  *dispatch.Dispatcher
	Rollout   *rollout.Service
	Pools     *pools.Decider
	Jobs      *jobs.Decider

	fleet         *fleetwatch.Watcher
	leaseKeeper   *leases.Renewer
	snapshotTaker *snapshots.Snapshotter
	server        *peerrpc.Server
	client        *peerrpc.Client
	notifications chan outgoingNotification

	reloaded         atomic.Pointer[setting.Settings] // settings in force after a reload, nil before the first
	configuredListen setting.Listen                   // as configured at the start

	mu    sync.Mutex
	ready bool
}

// outgoingNotification is a notification to be sent to an entry.
type outgoingNotification struct {
	entry        string
	notification slots.Notification
}

// Ports are the external systems that an entry uses.
type Ports struct {
	Log   platform.Log
	Fleet platform.Fleet
	Tasks platform.Tasks
}

// maxQueuedNotifications is the largest number of queued notifications; further ones are dropped,
// since holders also retry without them.
const maxQueuedNotifications = 1024

// New creates an entry and opens its address for peers, but starts nothing else.
func New(s setting.Settings, ports Ports, m *metrics.Set, c clock.Clock, logger log.Logger) (*Entry, error) {
	e := &Entry{
		Settings:         s,
		Clock:            c,
		Logger:           logger,
		Metrics:          m,
		notifications:    make(chan outgoingNotification, maxQueuedNotifications),
		configuredListen: s.Listen,
	}
	if err := e.openPeers(); err != nil {
		return nil, err
	}
	incarnation := uint64(c.Now().UnixNano())
	e.buildLedger(ports.Log, incarnation)
	e.buildSlots(incarnation)
	e.buildRequests()
	e.buildDeciders(ports, incarnation)
	return e, nil
}

// openPeers opens the address for peers, with TLS unless it is disabled.
func (e *Entry) openPeers() error {
	p := e.Settings.Peers
	e.client = &peerrpc.Client{Address: e.addressOf, Metrics: e.Metrics, Logger: e.Logger}
	e.server = &peerrpc.Server{Logger: e.Logger, Metrics: e.Metrics}
	if p.Insecure {
		e.Logger.Warn().Msg("peers.insecure is set: entries do not authenticate each other")
	} else {
		source, err := tlsconf.New(tlsconf.Files{Certificate: p.Certificate, Key: p.Key, Authority: p.Authority})
		if err != nil {
			return errors.Annotate(err, "peers")
		}
		e.server.TLS = source.Server()
		e.client.TLS = func() (*tls.Config, error) { return source.Client() }
	}
	address, err := e.server.Listen(e.Settings.Listen.Peers)
	if err != nil {
		return err
	}
	e.Settings.Listen.Peers = address
	return nil
}

func (e *Entry) buildLedger(port platform.Log, incarnation uint64) {
	e.Ledger = &ledger.Ledger{
		Log:         port,
		Clock:       e.Clock,
		Logger:      e.Logger,
		Name:        e.Settings.Entry.Name,
		DataCenter:  e.Settings.Entry.Hall,
		Address:     cmp.Or(e.Settings.Peers.Advertise, e.Settings.Listen.Peers),
		Incarnation: incarnation,
		Peers:       ledger.Peers{Relay: e.relay, State: e.newestPeerState, Append: e.appendByPeer},
	}
	e.Members = &members.Table{
		Clock:       e.Clock,
		Name:        e.Settings.Entry.Name,
		Incarnation: incarnation,
		State:       e.Ledger.State,
		Logger:      e.Logger,
		Probe:       e.client.Probe,
		ProbeVia:    e.client.ProbeIndirectly,
	}
}

func (e *Entry) buildSlots(incarnation uint64) {
	name := e.Settings.Entry.Name
	e.Lender = &slots.Lender{Clock: e.Clock, Name: name, Notify: e.queueNotification}
	e.Outliers = &outlier.Detector{Clock: e.Clock, Peers: e.samePool}
	e.Holder = &slots.Holder{
		Clock:      e.Clock,
		Name:       name,
		DataCenter: e.Settings.Entry.Hall,
		MayUse:     e.Outliers.MayUse,
		Cost: func(worker string, inUse int) float64 {
			return float64(e.Outliers.Latency(worker)+time.Millisecond) * float64(inUse+1)
		},
	}
	e.Exchanger = &slots.Exchanger{Holder: e.Holder, Incarnation: incarnation, Call: e.exchange, Logger: e.Logger}
	e.Holder.RequestExchange = e.Exchanger.RequestExchange
}

func (e *Entry) buildRequests() {
	l := e.Settings.Limits
	keys := &once.Service{
		Clock:  e.Clock,
		Logger: e.Logger,
		Ledger: once.Proposer{
			State: e.Ledger.State,
			Propose: func(ctx context.Context, records []record.Record, late func([]state.Verdict)) ([]state.Verdict, error) {
				return e.Ledger.Propose(ctx, ledger.Proposal{Records: records, OnLateVerdicts: late})
			},
		},
	}
	e.Dispatch = &dispatch.Dispatcher{
		Clock:     e.Clock,
		Logger:    e.Logger,
		State:     e.Ledger.State,
		Holder:    e.Holder,
		Outliers:  e.Outliers,
		Once:      keys,
		Metrics:   e.Metrics,
		OnLeaving: e.leaving,
		IdleConns: l.MaxIdleConns(),
		MaxBody:   l.BodyBytes,
	}
	e.Rollout = &rollout.Service{
		Clock:   e.Clock,
		Name:    e.Settings.Entry.Name,
		State:   e.Ledger.State,
		Propose: e.Ledger.ProposeNotify,
		Reached: e.client.AwaitMark,
	}
}

func (e *Entry) buildDeciders(ports Ports, incarnation uint64) {
	name := e.Settings.Entry.Name
	e.fleet = &fleetwatch.Watcher{
		Clock: e.Clock, Logger: e.Logger, Fleet: ports.Fleet, State: e.Ledger.State,
		Propose: e.Propose, NotifyLeaving: e.leaving,
	}
	e.leaseKeeper = &leases.Renewer{
		Clock: e.Clock, Name: name, Incarnation: incarnation,
		State: e.Ledger.State, Alive: e.Members.AliveEntries, Propose: e.Propose,
	}
	e.snapshotTaker = &snapshots.Snapshotter{
		Clock: e.Clock, Logger: e.Logger, Name: name, Incarnation: incarnation,
		Retention: e.Settings.Platform.Retention.Std(), State: e.Ledger.State, Propose: e.Propose,
	}
	e.Pools = &pools.Decider{
		Clock: e.Clock, Logger: e.Logger, Name: name, Incarnation: incarnation,
		Fleet: ports.Fleet, Changed: e.Ledger.Changed, Propose: e.Propose,
	}
	e.Jobs = &jobs.Decider{
		Clock: e.Clock, Logger: e.Logger, Name: name, Incarnation: incarnation,
		Tasks: ports.Tasks, Changed: e.Ledger.Changed, Alive: e.Members.AliveEntries, Propose: e.Propose,
	}
}

// Propose appends records to the log and returns the verdicts on them.
func (e *Entry) Propose(ctx context.Context, records []record.Record) ([]state.Verdict, error) {
	return e.Ledger.Propose(ctx, ledger.Proposal{Records: records})
}

// addressOf returns an entry's address for peers, "" for none.
func (e *Entry) addressOf(entry string) string {
	r, _ := e.Ledger.State().Entries.Get(entry)
	return r.Address
}

// samePool returns the workers in the pool of a worker.
func (e *Entry) samePool(worker string) []string {
	s := e.Ledger.State()
	i, _ := s.Instances.Get(worker)
	var same []string
	for _, o := range s.PoolInstances(i.Pool) {
		same = append(same, o.Worker.ID)
	}
	return same
}

// exchange performs a slots exchange with an owner; this entry's own lender is called directly.
func (e *Entry) exchange(ctx context.Context, owner string, x slots.Exchange) (slots.ExchangeResponse, error) {
	if owner == e.Settings.Entry.Name {
		return e.Lender.Exchange(x), nil
	}
	return e.client.Exchange(ctx, owner, x)
}

func (e *Entry) queueNotification(entry string, p slots.Notification) {
	select {
	case e.notifications <- outgoingNotification{entry, p}:
	default:
	}
}

// alivePeers returns the other entries that seem alive, in random order, or all others if none
// seems alive.
func (e *Entry) alivePeers() []string {
	peers := e.Members.AliveEntries()
	if len(peers) < 2 {
		peers = e.Ledger.State().MemberNames()
	}
	peers = slices.DeleteFunc(peers, func(n string) bool { return n == e.Settings.Entry.Name })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
