// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	stderrors "errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/standin"
)

// TestStopDuringStartIsReported checks that an entry which is stopped while it writes to the log at
// its start reports the stop, and not the failed write.
func TestStopDuringStartIsReported(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	behind, err := standin.Start(standin.Options{Address: "127.0.0.1:0"}, nil)
	assert.NilError(t, err)
	defer behind.Close(context.Background())
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: behind.Address})
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body) // only after that the server notices that the caller disconnects
			stop()
			<-r.Context().Done()
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	defer platform.Close()
	s := setting.Default()
	s.Entry = setting.Entry{Name: "e1", Hall: "h", DataCenter: "d"}
	s.Listen = setting.Listen{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.URL = platform.URL
	s.Peers.Insecure = true
	_, err = Start(ctx, s, log.Nop())
	assert.Assert(t, stderrors.Is(err, context.Canceled), "%v", err)
}
