// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"context"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/log"
)

// Table keeps one connection to each address; its zero value works.
type Table struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn // by address
}

// noHandler answers what is asked on connections of the calling side: nothing.
var noHandler = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
})

// Get returns the connection to an address, a new one over what dial opens if need
// be.
func (t *Table) Get(ctx context.Context, address string, dial func(ctx context.Context, address string) (net.Conn, error), logger *log.Logger) (*jsonrpc2.Conn, error) {
	t.mu.Lock()
	known := t.conns[address]
	t.mu.Unlock()
	if known != nil {
		select {
		case <-known.DisconnectNotify():
		default:
			return known, nil
		}
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	fresh := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noHandler, jsonrpc2.SetLogger(logger))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[string]*jsonrpc2.Conn)
	}
	t.conns[address] = fresh
	return fresh, nil
}

// Forget closes a connection on which a call has failed. Calls of others on it that
// wait would wait for nothing as well.
func (t *Table) Forget(address string, conn *jsonrpc2.Conn) {
	t.mu.Lock()
	if t.conns[address] == conn {
		delete(t.conns, address)
	}
	t.mu.Unlock()
	// Closing a connection that is closed tells nothing.
	_ = conn.Close()
}

// Close ends all connections.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		_ = conn.Close()
	}
	t.conns = nil
}
