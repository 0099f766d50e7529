// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerrpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/modules/rpcconn"
	"github.com/yardbridge/yardbridge/services/members"
	"github.com/yardbridge/yardbridge/services/slots"
)

// dialTimeout is the longest time to connect to a peer.
const dialTimeout = time.Second

// Client calls other entries; it keeps one connection to each.
type Client struct {
	// Address returns an entry's address for peers, "" for none.
	Address func(entry string) string
	// TLS returns the TLS settings of a new connection; nil disables TLS.
	TLS     func() (*tls.Config, error)
	Metrics *metrics.Set
	Logger  log.Logger

	once  sync.Once
	conns rpcconn.Client
}

// table returns the table of connections, which is initialized at the first use.
func (c *Client) table() *rpcconn.Client {
	c.once.Do(func() { c.conns.Dial, c.conns.Logger = c.dial, &c.Logger })
	return &c.conns
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(bounded, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn := c.Metrics.CountPeer(raw)
	if c.TLS == nil {
		return conn, nil
	}
	config, err := c.TLS()
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(bounded); err != nil {
		_ = raw.Close()
		return nil, errors.Annotatef(err, "peer %s", address)
	}
	return secure, nil
}

// call sends a message to an entry; with a nil result it does not wait for a response. A connection
// on which a call has failed is not used again.
func (c *Client) call(ctx context.Context, entry, method string, params, result any) error {
	address := c.Address(entry)
	if address == "" {
		return errkind.New(errkind.NotFound, "entry %s has no address", entry)
	}
	return c.callAddress(ctx, address, method, params, result)
}

func (c *Client) callAddress(ctx context.Context, address, method string, params, result any) error {
	var err error
	if result == nil {
		err = c.table().Notify(ctx, address, method, params)
	} else {
		err = c.table().Call(ctx, address, method, params, result)
	}
	return errors.Annotatef(err, "%s at %s", method, address)
}

// Close closes all connections.
func (c *Client) Close() { c.table().Close() }

// Exchange sends a slots exchange and returns the response.
func (c *Client) Exchange(ctx context.Context, entry string, x slots.Exchange) (slots.ExchangeResponse, error) {
	var g slots.ExchangeResponse
	err := c.call(ctx, entry, methodExchange, x, &g)
	return g, err
}

// Notify sends a notification about slots.
func (c *Client) Notify(ctx context.Context, entry string, p slots.Notification) error {
	return c.call(ctx, entry, methodNotify, p, nil)
}

// Probe sends a probe and returns the response.
func (c *Client) Probe(ctx context.Context, entry string, m members.Message) (members.Message, error) {
	var response members.Message
	err := c.call(ctx, entry, methodProbe, m, &response)
	return response, err
}

// ProbeIndirectly has a helper probe an entry; it returns nil if the entry responded.
func (c *Client) ProbeIndirectly(ctx context.Context, helper, entry string) error {
	var nothing struct{}
	return c.call(ctx, helper, methodProbeIndirectly, IndirectProbeRequest{Entry: entry}, &nothing)
}

// AnnounceLeaving announces to an entry which targets leave.
func (c *Client) AnnounceLeaving(ctx context.Context, entry string, workers []string) error {
	return c.call(ctx, entry, methodLeaving, LeavingMessage{IDs: workers}, nil)
}

// Relay returns an entry's records from an offset on.
func (c *Client) Relay(ctx context.Context, entry string, from uint64) (RelayResponse, error) {
	var a RelayResponse
	err := c.call(ctx, entry, methodRelay, RelayRequest{From: from}, &a)
	return a, err
}

// Append has an entry append a batch of this process.
func (c *Client) Append(ctx context.Context, entry string, data []byte) error {
	var nothing struct{}
	return c.call(ctx, entry, methodAppend, AppendRequest{Data: data}, &nothing)
}

// StateAt returns the complete state of the entry at an address.
func (c *Client) StateAt(ctx context.Context, address string) (StateResponse, error) {
	var a StateResponse
	err := c.callAddress(ctx, address, methodState, struct{}{}, &a)
	return a, err
}

// AwaitMark waits for a limited time until an entry has folded the log up to a mark, and returns
// whether it has. The error is of kind NotFound if nothing listens at the entry's address.
func (c *Client) AwaitMark(ctx context.Context, entry string, m state.Position) (bool, error) {
	var a AwaitMarkResponse
	err := c.call(ctx, entry, methodAwaitMark, m, &a)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, errkind.New(errkind.NotFound, "entry %s does not listen: %s", entry, err)
	}
	return a.Reached, err
}
