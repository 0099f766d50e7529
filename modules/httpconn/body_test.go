// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveChunks responds with a body whose chunks are sent one after the other, and stalls
// after some of them.
func serveChunks(t *testing.T, parts, sent int) *Client {
	t.Helper()
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(parts*bodyChunk))
		for range sent {
			_, _ = w.Write(make([]byte, bodyChunk))
			w.(http.Flusher).Flush()
			time.Sleep(chunkPause)
		}
		if sent < parts {
			<-done
		}
	}))
	t.Cleanup(func() {
		close(done)
		server.CloseClientConnections()
		server.Close()
	})
	return &Client{Address: server.Listener.Addr().String()}
}

// chunkPause is the time between two chunks, as on a saturated link.
const chunkPause = 100 * time.Millisecond

// TestLongBodyMayExceedTimeout: the records of a pool take longer over a saturated link
// than the timeout of a call to the store; if such responses were cut off, they could never
// be read.
func TestLongBodyMayExceedTimeout(t *testing.T) {
	const parts = 12
	r, err := serveChunks(t, parts, parts).Do(t.Context(), Request{Method: http.MethodGet, Path: "/"}, 3*chunkPause)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Body), parts*bodyChunk)
}

// TestStalledBodyTimesOut: a body that stalls times out after the time for one chunk.
func TestStalledBodyTimesOut(t *testing.T) {
	began := time.Now()
	_, err := serveChunks(t, 12, 3).Do(t.Context(), Request{Method: http.MethodGet, Path: "/"}, 3*chunkPause)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 10*chunkTimeout, "%s", time.Since(began))
}

// TestLongBodyEndsWithContext: a long body is not read on after the caller's context has
// ended.
func TestLongBodyEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*chunkPause)
	defer cancel()
	began := time.Now()
	_, err := serveChunks(t, 100, 100).Do(ctx, Request{Method: http.MethodGet, Path: "/"}, time.Minute)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 5*time.Second, "%s", time.Since(began))
}
