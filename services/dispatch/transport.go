// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"
)

// idleConnTimeout is how long an idle connection is kept. It is short, so that no connection is
// kept for long to a target that is gone.
const idleConnTimeout = 5 * time.Second

func newTransport(idle int, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:           dial,
		MaxIdleConnsPerHost:   max(idle, 1),
		IdleConnTimeout:       idleConnTimeout,
		DisableCompression:    true,
		ResponseHeaderTimeout: 0, // each request has its own deadline
	}
}

// hopHeaders are the headers of one connection, which are not passed on.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyHeaders copies the headers that belong to the message; the values are shared.
func copyHeaders(to, from http.Header) {
	named := connectionHeaders(from)
	for k, v := range from {
		if hopHeaders[k] || named[k] {
			continue
		}
		to[k] = v
	}
}

// connectionHeaders returns the headers that Connection names, nil if it names none.
func connectionHeaders(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
