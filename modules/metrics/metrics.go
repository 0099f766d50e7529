// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metrics

import (
	"net"

	gometrics "github.com/rcrowley/go-metrics"
)

// Set holds the metrics of one process.
type Set struct {
	Registry gometrics.Registry

	Requests    gometrics.Counter // requests of callers
	Sends       gometrics.Counter // requests sent to targets
	Retries     gometrics.Counter // the sends that were retries
	Refused     gometrics.Counter // responses with the outcome not-run
	Unknown     gometrics.Counter // responses with an unknown outcome
	Keyed       gometrics.Counter // requests that run at most once
	Latency     gometrics.Timer   // from the arrival of a request to the end of its response
	PeerIn      gometrics.Counter // bytes from peers
	PeerOut     gometrics.Counter // bytes to peers
	PlatformIn  gometrics.Counter // bytes from the platform
	PlatformOut gometrics.Counter // bytes to the platform
}

// New returns a set in a new registry.
func New() *Set {
	r := gometrics.NewRegistry()
	return &Set{
		Registry:    r,
		Requests:    gometrics.NewRegisteredCounter("requests", r),
		Sends:       gometrics.NewRegisteredCounter("sends", r),
		Retries:     gometrics.NewRegisteredCounter("retries", r),
		Refused:     gometrics.NewRegisteredCounter("refused", r),
		Unknown:     gometrics.NewRegisteredCounter("unknown_outcomes", r),
		Keyed:       gometrics.NewRegisteredCounter("keyed_requests", r),
		Latency:     gometrics.NewRegisteredTimer("request_latency", r),
		PeerIn:      gometrics.NewRegisteredCounter("peer_bytes_in", r),
		PeerOut:     gometrics.NewRegisteredCounter("peer_bytes_out", r),
		PlatformIn:  gometrics.NewRegisteredCounter("platform_bytes_in", r),
		PlatformOut: gometrics.NewRegisteredCounter("platform_bytes_out", r),
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	in, out gometrics.Counter
}

// CountPeer returns a connection to a peer whose bytes are counted; a nil set counts
// nothing.
func (s *Set) CountPeer(c net.Conn) net.Conn {
	if s == nil {
		return c
	}
	return countedConn{c, s.PeerIn, s.PeerOut}
}

// CountPlatform returns a connection to the platform whose bytes are counted; a nil set
// counts nothing.
func (s *Set) CountPlatform(c net.Conn) net.Conn {
	if s == nil {
		return c
	}
	return countedConn{c, s.PlatformIn, s.PlatformOut}
}

// NetConn returns the wrapped connection, which is needed to reset it.
func (c countedConn) NetConn() net.Conn { return c.Conn }

// Read reads and counts the bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}
