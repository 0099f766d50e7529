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

// Workers names workers.
type Workers struct {
	IDs []string `json:"ids"`
}

// HelpAsk asks to probe an entry.
type HelpAsk struct {
	Entry string `json:"entry"`
}

// RelayAsk asks for records from an offset on.
type RelayAsk struct {
	From uint64 `json:"from"`
}

// RelayAnswer holds records and the age of the peer's contact with the log.
type RelayAnswer struct {
	Records []record.Stored `json:"records,omitempty"`
	Age     time.Duration   `json:"age"` // nanoseconds
}

// AppendAsk asks a peer to append a batch of the asking process.
type AppendAsk struct {
	Data []byte `json:"data"`
}

// WholeAnswer holds an encoded state.
type WholeAnswer struct {
	Data []byte `json:"data"`
}

// ReachedAnswer says whether an entry has folded the log up to a mark.
type ReachedAnswer struct {
	Reached bool `json:"reached"`
}

// Handlers are what an entry does on each message; all must be set.
type Handlers struct {
	Exchange func(slots.Exchange) slots.Granted
	Poke     func(slots.Poke)
	Probe    func(members.Message) members.Message
	Help     func(ctx context.Context, entry string) error
	Leaving  func(workers []string)
	Relay    func(from uint64) RelayAnswer
	Append   func(ctx context.Context, data []byte) error
	Whole    func() (WholeAnswer, error)
	Reached  func(ctx context.Context, m state.Position) ReachedAnswer
}
