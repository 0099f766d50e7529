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

// Timeouts and limits of calls to peers.
const (
	relayTimeout   = time.Second
	stateTimeout   = 10 * time.Second
	awaitMarkLimit = 10 * time.Second
	appendPeers    = 2 // peers asked to append; if the log is unavailable to all, more would not help
	leavingFanout  = 8 // entries to which each entry announces leaving targets when it learns of them
	leavingTimeout = 2 * time.Second
)

// handlers returns the handlers of the messages of other entries.
func (e *Entry) handlers() peerrpc.Handlers {
	return peerrpc.Handlers{
		Exchange:        e.Lender.Exchange,
		Notify:          e.Holder.HandleNotification,
		Probe:           e.Members.Receive,
		ProbeIndirectly: e.Members.Ping,
		Leaving:         e.leaving,
		Relay:           e.relayTail,
		Append:          e.appendForPeer,
		State:           e.ownState,
		AwaitMark:       e.awaitMark,
	}
}

// relay gets records from a live peer while the log can't be reached.
func (e *Entry) relay(ctx context.Context, from uint64) ([]record.Stored, time.Duration, error) {
	for _, p := range e.alivePeers() {
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		a, err := e.client.Relay(bounded, p, from)
		cancel()
		if err == nil {
			return a.Records, a.ContactAge, nil
		}
	}
	return nil, 0, errkind.New(errkind.LogUnavailable, "no peer responds")
}

func (e *Entry) relayTail(from uint64) peerrpc.RelayResponse {
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

// appendForPeer appends a peer's batch; it does not ask further peers.
func (e *Entry) appendForPeer(ctx context.Context, data []byte) error {
	_, err := e.Ledger.Log.Append(ctx, data)
	return err
}

// newestPeerState returns the newest state among the seeds and the known entries.
func (e *Entry) newestPeerState(ctx context.Context) (state.State, error) {
	addresses := append([]string(nil), e.CurrentSettings().Peers.Seeds...)
	for _, p := range e.alivePeers() {
		addresses = append(addresses, e.addressOf(p))
	}
	var newest state.State
	for _, a := range addresses {
		if a == e.Settings.Listen.Peers {
			continue
		}
		s, err := e.peerState(ctx, a)
		if err == nil && s.Offset > newest.Offset {
			newest = s
		}
	}
	if newest.Offset == 0 {
		return newest, errkind.New(errkind.LogUnavailable, "none of %d peers returned a state", len(addresses))
	}
	return newest, nil
}

func (e *Entry) peerState(ctx context.Context, address string) (state.State, error) {
	bounded, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	a, err := e.client.StateAt(bounded, address)
	if err != nil {
		return state.State{}, errors.Trace(err)
	}
	return state.Decode(a.Data)
}

func (e *Entry) ownState() (peerrpc.StateResponse, error) {
	data, err := e.Ledger.State().Encode()
	return peerrpc.StateResponse{Data: data}, err
}

func (e *Entry) awaitMark(ctx context.Context, m state.Position) peerrpc.AwaitMarkResponse {
	bounded, cancel := context.WithTimeout(ctx, awaitMarkLimit)
	defer cancel()
	return peerrpc.AwaitMarkResponse{Reached: e.Ledger.WaitFor(bounded, m) == nil}
}

// leaving stops new requests to targets on this entry. If that is new information, it is announced
// to other entries, so that all of them know within a few hops.
func (e *Entry) leaving(workers []string) {
	if !e.Holder.MarkLeaving(workers) {
		return
	}
	peers := e.alivePeers()
	for _, p := range peers[:min(leavingFanout, len(peers))] {
		go leavingAnnouncement{e, p, workers}.send()
	}
}

// leavingAnnouncement is the announcement of leaving targets to one entry.
type leavingAnnouncement struct {
	e       *Entry
	entry   string
	workers []string
}

func (s leavingAnnouncement) send() {
	ctx, cancel := context.WithTimeout(context.Background(), leavingTimeout)
	defer cancel()
	if err := s.e.client.AnnounceLeaving(ctx, s.entry, s.workers); err != nil {
		s.e.Logger.Debug().Err(err).Str("entry", s.entry).Msg("leaving targets not announced")
	}
}
