// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerrpc

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/services/members"
	"github.com/yardbridge/yardbridge/services/slots"
)

// The methods between entries.
const (
	methodExchange = "slots.exchange"
	methodPoke     = "slots.poke"
	methodProbe    = "members.probe"
	methodHelp     = "members.help"
	methodLeaving  = "targets.leaving"
	methodRelay    = "log.relay"
	methodAppend   = "log.append"
	methodWhole    = "log.whole"
	methodReached  = "log.reached"
)

// LeavingMessage names workers.
type LeavingMessage struct {
	IDs []string `json:"ids"`
}

// IndirectProbeRequest asks to probe an entry.
type IndirectProbeRequest struct {
	Entry string `json:"entry"`
}

// RelayRequest asks for records from an offset on.
type RelayRequest struct {
	From uint64 `json:"from"`
}

// RelayResponse holds records and the age of the peer's contact with the log.
type RelayResponse struct {
	Records    []record.Stored `json:"records,omitempty"`
	ContactAge time.Duration   `json:"age"` // nanoseconds
}

// AppendRequest asks a peer to append a batch of the asking process.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// StateResponse holds an encoded state.
type StateResponse struct {
	Data []byte `json:"data"`
}

// AwaitMarkResponse says whether an entry has folded the log up to a mark.
type AwaitMarkResponse struct {
	Reached bool `json:"reached"`
}

// Handlers are what an entry does on each message; all must be set.
type Handlers struct {
	Exchange        func(slots.Exchange) slots.ExchangeResponse
	Notify          func(slots.Notification)
	Probe           func(members.Message) members.Message
	ProbeIndirectly func(ctx context.Context, entry string) error
	Leaving         func(workers []string)
	Relay           func(from uint64) RelayResponse
	Append          func(ctx context.Context, data []byte) error
	State           func() (StateResponse, error)
	AwaitMark       func(ctx context.Context, m state.Position) AwaitMarkResponse
}
