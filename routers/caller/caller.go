// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"net/http"
	"strings"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/dispatch"
)

// Paths of the interface.
const (
	servicePrefix = "/s/"
	pathHealthy   = "/-/healthy"
	pathReady     = "/-/ready"
)

// Router handles requests of callers at /s/SERVICE/PATH, and of the load balancer under /-/.
type Router struct {
	Dispatch *dispatch.Dispatcher
	Ready    func() error
}

// ServeHTTP handles one request.
func (t *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, servicePrefix)
	if ok {
		service, path, _ := strings.Cut(rest, "/")
		t.Dispatch.Serve(w, r, service, "/"+path)
		return
	}
	switch r.URL.Path {
	case pathHealthy:
		w.WriteHeader(http.StatusOK)
	case pathReady:
		t.serveReady(w)
	default:
		errkind.Write(w, "", errkind.New(errkind.NotFound, "path %.80q is not served; allowed is %sSERVICE/PATH", r.URL.Path, servicePrefix))
	}
}

func (t *Router) serveReady(w http.ResponseWriter) {
	if err := t.Ready(); err != nil {
		errkind.Write(w, "", errkind.New(errkind.Stopping, "%v", err))
		return
	}
	w.WriteHeader(http.StatusOK)
}
