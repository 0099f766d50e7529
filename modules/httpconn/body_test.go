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

// slowly answers with a body of parts that come one after the other, and stops for good
// after some of them.
func slowly(t *testing.T, parts, comes int) *Client {
	t.Helper()
	over := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(parts*bodyPart))
		for range comes {
			_, _ = w.Write(make([]byte, bodyPart))
			w.(http.Flusher).Flush()
			time.Sleep(partPause)
		}
		if comes < parts {
			<-over
		}
	}))
	t.Cleanup(func() {
		close(over)
		server.CloseClientConnections()
		server.Close()
	})
	return &Client{Address: server.Listener.Addr().String()}
}

// partPause is from one part to the next, as on a link that is full.
const partPause = 100 * time.Millisecond

// TestALongBodyIsWaitedForWhileItComes: the records of a pool come over a full link for
// longer than a call to the store may take; given up, they would never come.
func TestALongBodyIsWaitedForWhileItComes(t *testing.T) {
	const parts = 12
	r, err := slowly(t, parts, parts).Do(t.Context(), Request{Method: http.MethodGet, Path: "/"}, 3*partPause)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Body), parts*bodyPart)
}

// TestABodyThatStopsIsGivenUp: what has begun to come and comes no more has the time of
// one part.
func TestABodyThatStopsIsGivenUp(t *testing.T) {
	began := time.Now()
	_, err := slowly(t, 12, 3).Do(t.Context(), Request{Method: http.MethodGet, Path: "/"}, 3*partPause)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 10*partTime, "%s", time.Since(began))
}

// TestALongBodyEndsWithItsCaller: nobody waits for it any more.
func TestALongBodyEndsWithItsCaller(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*partPause)
	defer cancel()
	began := time.Now()
	_, err := slowly(t, 100, 100).Do(ctx, Request{Method: http.MethodGet, Path: "/"}, time.Minute)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 5*time.Second, "%s", time.Since(began))
}
