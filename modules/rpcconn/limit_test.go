// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/log"
)

// TestLongMessagesTakeMemory guards against peers that each send a part of a long message and wait: what has arrived
// counts, whatever length is stated, and is given back with every end.
func TestLongMessagesTakeMemory(t *testing.T) {
	memory := budget.New(1 << 20)
	bounded := 0
	l := limits{memory, func(begun bool) {
		if begun {
			bounded++
		} else {
			bounded--
		}
	}, nil}
	read := func(length int, content io.Reader) (*message, error) {
		return l.readMessage(bufio.NewReader(io.MultiReader(bytes.NewReader(binary.AppendUvarint(nil, uint64(length))), content)))
	}
	text := func(size int) string {
		return fmt.Sprintf(`{"method":"m","params":"%s"}`, strings.Repeat("x", size-len(`{"method":"m","params":""}`)))
	}
	for _, size := range []int{30, firstBuffer, firstBuffer + 1, 5 * firstBuffer, 300 << 10} {
		m, err := read(size, strings.NewReader(text(size)))
		assert.NilError(t, err)
		assert.Equal(t, *m.Method, "m")
		assert.Equal(t, memory.Used(), m.held)
		assert.Assert(t, size <= firstBuffer || m.held >= int64(size))
		memory.Add(-m.held)
	}
	for _, c := range []struct {
		length  int
		content string
		err     string
	}{
		{2 << 20, text(2 << 20), "too little memory for a message"},
		{300 << 10, text(100 << 10), "unexpected EOF"},
		{100 << 10, strings.Repeat("x", 100<<10), "invalid character"},
	} {
		_, err := read(c.length, strings.NewReader(c.content))
		assert.ErrorContains(t, err, c.err)
		assert.Equal(t, memory.Used(), int64(0))
	}
	assert.Equal(t, bounded, 0)
}

// TestRefusedCallLeavesOthers guards against calls of others that end with the connection they share, since there was too
// little memory for one call.
func TestRefusedCallLeavesOthers(t *testing.T) {
	logger := log.Nop()
	memory := budget.New(100 << 10)
	begun, end := make(chan struct{}), make(chan struct{})
	handle := func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		if r.Method == "slow" {
			close(begun)
			<-end
		}
		return r.Method, nil
	}
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server := newLimitedConn(ctx, far, handle, &logger, limits{memory: memory, refusal: &jsonrpc2.Error{Code: 7, Message: "too much"}})
	client := newConn(ctx, near, nil, &logger)
	slow := make(chan error, 1)
	var result string
	go func() { slow <- client.Call(ctx, "slow", struct{}{}, &result) }()
	<-begun
	var other string
	err := client.Call(ctx, "large", strings.Repeat("x", 200<<10), &other)
	assert.ErrorContains(t, err, "too much")
	assert.NilError(t, client.Call(ctx, "next", strings.Repeat("x", 10<<10), &other))
	assert.Equal(t, other, "next")
	close(end)
	assert.NilError(t, <-slow)
	assert.Equal(t, result, "slow")
	_, _ = client.Close(), server.Close()
	for memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// failingListener fails to accept a few times, as it does while the process has no descriptor left.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerAcceptsAgain guards against a process that is never reached again by others, since a connection could not be
// accepted once.
func TestServerAcceptsAgain(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	logger := log.Nop()
	ctx, cancel := context.WithCancel(t.Context())
	s := &Server{
		Wrap:   func(_ context.Context, raw net.Conn) (net.Conn, error) { return raw, nil },
		Handle: func(context.Context, *jsonrpc2.Request) (any, error) { return struct{}{}, nil }, Logger: &logger,
	}
	ended := make(chan struct{})
	go func() {
		s.Run(ctx, &failingListener{raw, 2})
		close(ended)
	}()
	var dialer net.Dialer
	c := &Client{Logger: &logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
	defer c.Close()
	var nothing struct{}
	assert.NilError(t, c.Call(t.Context(), raw.Addr().String(), "work", struct{}{}, &nothing))
	cancel()
	<-ended
}
