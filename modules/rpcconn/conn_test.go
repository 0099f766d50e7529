// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
)

// caller is what both implementations of a connection offer.
type caller interface {
	Call(ctx context.Context, method string, params, result any) error
	Notify(ctx context.Context, method string, params any) error
}

// libraryConn is a connection of package jsonrpc2.
type libraryConn struct{ *jsonrpc2.Conn }

func (c libraryConn) Call(ctx context.Context, method string, params, result any) error {
	return c.Conn.Call(ctx, method, params, result)
}

func (c libraryConn) Notify(ctx context.Context, method string, params any) error {
	return c.Conn.Notify(ctx, method, params)
}

func newLibraryConn(ctx context.Context, stream net.Conn, handle Handler) caller {
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) { return handle(ctx, r) })
	return libraryConn{jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(stream, jsonrpc2.VarintObjectCodec{}), jsonrpc2.AsyncHandler(handler))}
}

// TestSameMessagesAsTheLibrary guards against a process that can't talk to one of an earlier release,
// which uses package jsonrpc2: calls, notifications, results, empty results and both kinds of errors pass in each direction.
func TestSameMessagesAsTheLibrary(t *testing.T) {
	logger := log.Nop()
	notified := make(chan string, 1)
	handle := func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		switch r.Method {
		case "echo":
			return r.Params, nil
		case "note":
			notified <- string(*r.Params)
			return nil, nil
		case "refuse":
			e := &jsonrpc2.Error{Code: 1003, Message: `a "reason" <b>`}
			e.SetError(7)
			return nil, e
		case "fail":
			return nil, errors.New("broken")
		}
		return nil, nil
	}
	for _, ours := range []string{"client", "server", "both"} {
		t.Run(ours, func(t *testing.T) {
			near, far := net.Pipe()
			open := func(on bool, end net.Conn) caller {
				if on {
					return newConn(t.Context(), end, handle, &logger)
				}
				return newLibraryConn(t.Context(), end, handle)
			}
			c := open(ours != "server", near)
			open(ours != "client", far)
			var got map[string]any
			want := map[string]any{"large": strings.Repeat("<é\">", 50_000), "number": 1.5, "none": nil}
			assert.NilError(t, c.Call(t.Context(), "echo", want, &got))
			assert.DeepEqual(t, got, want)
			assert.NilError(t, c.Notify(t.Context(), "note", "x"))
			assert.Equal(t, <-notified, `"x"`)
			assert.NilError(t, c.Call(t.Context(), "nothing", struct{}{}, &struct{}{}))
			var refused *jsonrpc2.Error
			assert.Assert(t, errors.As(c.Call(t.Context(), "refuse", struct{}{}, nil), &refused))
			assert.Equal(t, refused.Message, `a "reason" <b>`)
			assert.Equal(t, string(*refused.Data), "7")
			assert.Equal(t, refused.Code, int64(1003))
			assert.ErrorContains(t, c.Call(t.Context(), "fail", struct{}{}, nil), "broken")
		})
	}
}

// TestWrongLengthTakesNoMemory guards against a process that runs out of memory because a peer states a
// length that its message doesn't have.
func TestWrongLengthTakesNoMemory(t *testing.T) {
	for _, length := range []uint64{1 << 40, 1<<64 - 1} {
		data := append(binary.AppendUvarint(nil, length), "{}"...)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := limits{}.readMessage(bufio.NewReader(bytes.NewReader(data)))
		runtime.ReadMemStats(&after)
		assert.Assert(t, err != nil)
		assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 1<<20, "%d bytes", after.TotalAlloc-before.TotalAlloc)
	}
}

// BenchmarkCall measures a call with a short result, and one whose result lists 6,000 instances, over
// this package's connections and the library's.
// countingReader yields blanks without end and counts them.
type countingReader struct{ count int }

func (c *countingReader) Read(p []byte) (int, error) {
	c.count += len(p)
	return copy(p, bytes.Repeat([]byte(" "), len(p))), nil
}

// TestLongMessageIsNotRead guards against a process that is killed for its memory since another one sends a
// message without end.
func TestLongMessageIsNotRead(t *testing.T) {
	var blanks countingReader
	length := binary.AppendUvarint(nil, 100<<20)
	_, err := limits{}.readMessage(bufio.NewReader(io.MultiReader(bytes.NewReader(length), &blanks)))
	assert.Assert(t, blanks.count < 1<<20, "%d bytes were read", blanks.count)
	assert.ErrorContains(t, err, "message of 104857600 bytes; allowed are 67108864")
}

func BenchmarkCall(b *testing.B) {
	logger := log.Nop()
	type entry struct {
		Name, Pool string
		CPU        int
	}
	for name, list := range map[string][]entry{"short": make([]entry, 1), "long": make([]entry, 6000)} {
		for i := range list {
			list[i] = entry{"instance-0123", "pool-1", 1000 * i}
		}
		handle := func(_ context.Context, r *jsonrpc2.Request) (any, error) {
			var got []entry
			return struct{}{}, json.Unmarshal(*r.Params, &got)
		}
		for _, own := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/own=%t", name, own), func(b *testing.B) {
				near, far := net.Pipe()
				open := newLibraryConn
				if own {
					open = func(ctx context.Context, end net.Conn, handle Handler) caller {
						return newConn(ctx, end, handle, &logger)
					}
				}
				c := open(b.Context(), near, handle)
				open(b.Context(), far, handle)
				b.ReportAllocs()
				for b.Loop() {
					assert.NilError(b, c.Call(b.Context(), "list", list, &struct{}{}))
				}
			})
		}
	}
}
