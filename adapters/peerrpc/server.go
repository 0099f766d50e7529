// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerrpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/modules/rpcconn"
	"github.com/yardbridge/yardbridge/services/members"
	"github.com/yardbridge/yardbridge/services/slots"
)

// Server handles the messages of other entries.
type Server struct {
	Handlers Handlers
	TLS      *tls.Config // nil for none
	Logger   log.Logger
	Metrics  *metrics.Set

	listener net.Listener
}

// Listen opens the address and returns the actual one.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Annotate(err, "address for peers")
	}
	s.listener = l
	return l.Addr().String(), nil
}

// Run accepts connections until the context ends.
func (s *Server) Run(ctx context.Context) {
	(&rpcconn.Server{Wrap: s.secure, Handle: s.handle, Logger: &s.Logger}).Run(ctx, s.listener)
}

// secure returns a counted connection, with TLS if that is configured.
func (s *Server) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	conn := s.Metrics.CountPeer(raw)
	if s.TLS == nil {
		return conn, nil
	}
	secure := tls.Server(conn, s.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		s.Logger.Warn().Err(err).Str("from", raw.RemoteAddr().String()).Msg("TLS handshake with a peer failed")
		return nil, err
	}
	return secure, nil
}

// handle handles one message.
func (s *Server) handle(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	h := s.Handlers
	switch r.Method {
	case methodExchange:
		return handleParams(r, func(x slots.Exchange) (any, error) { return h.Exchange(x), nil })
	case methodNotify:
		return handleParams(r, func(p slots.Notification) (any, error) { h.Notify(p); return nil, nil })
	case methodProbe:
		return handleParams(r, func(m members.Message) (any, error) { return h.Probe(m), nil })
	case methodProbeIndirectly:
		return handleParams(r, func(a IndirectProbeRequest) (any, error) { return nil, h.ProbeIndirectly(ctx, a.Entry) })
	case methodLeaving:
		return handleParams(r, func(w LeavingMessage) (any, error) { h.Leaving(w.IDs); return nil, nil })
	case methodRelay:
		return handleParams(r, func(a RelayRequest) (any, error) { return h.Relay(a.From), nil })
	case methodAppend:
		return handleParams(r, func(a AppendRequest) (any, error) { return nil, h.Append(ctx, a.Data) })
	case methodState:
		return h.State()
	case methodAwaitMark:
		return handleParams(r, func(m state.Position) (any, error) { return h.AwaitMark(ctx, m), nil })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// handleParams decodes the message's parameters and calls its handler.
func handleParams[T any](r *jsonrpc2.Request, do func(T) (any, error)) (any, error) {
	var v T
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, &v); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return do(v)
}
