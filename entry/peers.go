// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/adapters/peerrpc"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Times and counts of what is asked of peers.
const (
	relayTimeout = time.Second
	wholeTimeout = 10 * time.Second
	reachedLimit = 10 * time.Second
	appendPeers  = 2 // that are asked to append; if the log is down for all, more are no help
	spreadFanout = 8 // entries that are told of leaving targets by each that learns of them
	spreadLimit  = 2 * time.Second
)

// handlers are what this entry does on the messages of others.
func (e *Entry) handlers() peerrpc.Handlers {
	return peerrpc.Handlers{
		Exchange:        e.Lender.Exchange,
		Notify:          e.Holder.HandleNotification,
		Probe:           e.Members.Receive,
		ProbeIndirectly: e.Members.Ping,
		Leaving:         e.leaving,
		Relay:           e.relayOut,
		Append:          e.appendOut,
		State:           e.wholeOut,
		AwaitMark:       e.reached,
	}
}

// relay takes records from a live peer while the log can't be reached.
func (e *Entry) relay(ctx context.Context, from uint64) ([]record.Stored, time.Duration, error) {
	for _, p := range e.alivePeers() {
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		a, err := e.client.Relay(bounded, p, from)
		cancel()
		if err == nil {
			return a.Records, a.ContactAge, nil
		}
	}
	return nil, 0, errkind.New(errkind.LogUnavailable, "no peer answers")
}

func (e *Entry) relayOut(from uint64) peerrpc.RelayResponse {
	return peerrpc.RelayResponse{
		Records:    e.Ledger.Tail(from),
		ContactAge: e.Clock.Now().Sub(e.Ledger.LastContact()),
	}
}

// appendByPeer has a live peer append a batch.
func (e *Entry) appendByPeer(ctx context.Context, data []byte) error {
	err := errkind.New(errkind.LogUnavailable, "there is no peer")
	peers := e.alivePeers()
	for _, p := range peers[:min(appendPeers, len(peers))] {
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		err = e.client.Append(bounded, p, data)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// appendOut appends a peer's batch; it does not ask further peers.
func (e *Entry) appendOut(ctx context.Context, data []byte) error {
	_, err := e.Ledger.Log.Append(ctx, data)
	return err
}

// whole takes the newest state of the seeds and known entries.
func (e *Entry) whole(ctx context.Context) (state.State, error) {
	addresses := append([]string(nil), e.CurrentSetting().Peers.Seeds...)
	for _, p := range e.alivePeers() {
		addresses = append(addresses, e.addressOf(p))
	}
	var newest state.State
	for _, a := range addresses {
		if a == e.Setting.Listen.Peers {
			continue
		}
		s, err := e.wholeAt(ctx, a)
		if err == nil && s.Offset > newest.Offset {
			newest = s
		}
	}
	if newest.Offset == 0 {
		return newest, errkind.New(errkind.LogUnavailable, "none of %d peers has a state to give", len(addresses))
	}
	return newest, nil
}

func (e *Entry) wholeAt(ctx context.Context, address string) (state.State, error) {
	bounded, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	a, err := e.client.StateAt(bounded, address)
	if err != nil {
		return state.State{}, errors.Trace(err)
	}
	return state.Decode(a.Data)
}

func (e *Entry) wholeOut() (peerrpc.StateResponse, error) {
	data, err := e.Ledger.State().Encode()
	return peerrpc.StateResponse{Data: data}, err
}

func (e *Entry) reached(ctx context.Context, m state.Position) peerrpc.AwaitMarkResponse {
	bounded, cancel := context.WithTimeout(ctx, reachedLimit)
	defer cancel()
	return peerrpc.AwaitMarkResponse{Reached: e.Ledger.WaitFor(bounded, m) == nil}
}

// leaving stops new requests to targets here and, if that is news, passes it
// on, so that every entry knows within a few hops.
func (e *Entry) leaving(workers []string) {
	if !e.Holder.MarkLeaving(workers) {
		return
	}
	peers := e.alivePeers()
	for _, p := range peers[:min(spreadFanout, len(peers))] {
		go spreading{e, p, workers}.run()
	}
}

// spreading is the news of leaving targets on its way to an entry.
type spreading struct {
	e       *Entry
	entry   string
	workers []string
}

func (s spreading) run() {
	ctx, cancel := context.WithTimeout(context.Background(), spreadLimit)
	defer cancel()
	if err := s.e.client.AnnounceLeaving(ctx, s.entry, s.workers); err != nil {
		s.e.Logger.Debug().Err(err).Str("entry", s.entry).Msg("leaving not passed on")
	}
}
