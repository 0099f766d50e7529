// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package noderpc

import (
	"context"
	"encoding/json"
	"net"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/rpcconn"
)

// HandlerFunc handles the calls of one method; it gets the encoded parameters.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Server handles the calls of other nodes; its fields are set before Listen.
type Server struct {
	Methods map[string]HandlerFunc
	Logger  log.Logger
	// OpenListener opens a listener at an address; nil opens one over TCP.
	OpenListener func(address string) (net.Listener, error)

	// Memory is what calls of more than some kilobytes hold while they arrive and are handled; nil has no limit.
	Memory *budget.Budget
	// MaxConnections is how many connections of other nodes may be open, 0 for the default of package rpcconn.
	MaxConnections int64

	// OnCall is called after each call with its method and the bytes of its parameters and its result; it may
	// be nil.
	OnCall func(method string, received, sent int)

	listener net.Listener
}

// Handle returns a HandlerFunc that decodes the parameters into a type.
func Handle[P any](do func(ctx context.Context, params P) (any, error)) HandlerFunc {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errkind.New(errkind.BadRequest, "parameters: %v", err)
		}
		return do(ctx, params)
	}
}

// Listen opens the address and returns the actual one.
func (s *Server) Listen(address string) (string, error) {
	open := s.OpenListener
	if open == nil {
		open = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	l, err := open(address)
	if err != nil {
		return "", errors.Annotate(err, "address for nodes")
	}
	s.listener = l
	return l.Addr().String(), nil
}

// noMemory is the response to a call for which there is too little memory.
var noMemory = codeOf(errkind.New(errkind.Overloaded, "too little memory for the call now"))

// Run accepts connections until the context ends.
func (s *Server) Run(ctx context.Context) {
	wrap := func(_ context.Context, raw net.Conn) (net.Conn, error) { return boundedConn{raw}, nil }
	(&rpcconn.Server{Wrap: wrap, Handle: s.handle, Logger: &s.Logger, Memory: s.Memory, Refusal: noMemory, MaxConnections: s.MaxConnections}).Run(ctx, s.listener)
}

// handle handles one call.
func (s *Server) handle(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	method := s.Methods[r.Method]
	if method == nil || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	result, err := method(ctx, *r.Params)
	if err != nil {
		s.count(r, 0)
		return nil, codeOf(err)
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		return nil, codeOf(err)
	}
	s.count(r, len(encoded))
	return json.RawMessage(encoded), nil
}

// count reports a call to OnCall.
func (s *Server) count(r *jsonrpc2.Request, sent int) {
	if s.OnCall != nil {
		s.OnCall(r.Method, len(*r.Params), sent)
	}
}
