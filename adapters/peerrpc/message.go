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

// Methods between entries.
const (
	methodExchange        = "slots.exchange"
	methodNotify          = "slots.poke"
	methodProbe           = "members.probe"
	methodProbeIndirectly = "members.help"
	methodLeaving         = "targets.leaving"
	methodRelay           = "log.relay"
	methodAppend          = "log.append"
	methodState           = "log.whole"
	methodAwaitMark       = "log.reached"
)

// LeavingMessage lists the workers of targets that leave.
type LeavingMessage struct {
	IDs []string `json:"ids"`
}

// IndirectProbeRequest requests a probe of an entry.
type IndirectProbeRequest struct {
	Entry string `json:"entry"`
}

// RelayRequest requests records from an offset on.
type RelayRequest struct {
	From uint64 `json:"from"`
}

// RelayResponse holds records and the time since the peer's last contact with the log.
type RelayResponse struct {
	Records    []record.Stored `json:"records,omitempty"`
	ContactAge time.Duration   `json:"age"` // nanoseconds
}

// AppendRequest requests that a peer append a batch of the requesting process.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// StateResponse holds an encoded state.
type StateResponse struct {
	Data []byte `json:"data"`
}

// AwaitMarkResponse reports whether an entry has folded the log up to a mark.
type AwaitMarkResponse struct {
	Reached bool `json:"reached"`
}

// Handlers handle the messages of other entries; all must be set.
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
