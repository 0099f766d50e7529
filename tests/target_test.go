// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/yardbridge/yardbridge/entry"
	"github.com/yardbridge/yardbridge/routers/apiv1"
	"github.com/yardbridge/yardbridge/services/platform"
	"github.com/yardbridge/yardbridge/standin"
)

// api reads a response of the administration API.
func api(ts *testscript.TestScript, path string, v any) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+ts.Getenv("YARDBRIDGE_SERVER")+apiv1.Prefix+path, nil)
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(v)
}

// cmdServing sets a variable to a worker that serves in a pool: serving NAME POOL.
func (w *testEnv) cmdServing(ts *testscript.TestScript, _ bool, args []string) {
	var rows []apiv1.InstanceStatus
	ts.Check(api(ts, "/instances", &rows))
	for _, r := range rows {
		if r.Pool == args[1] && r.Phase == "in-service" {
			ts.Setenv(args[0], r.Worker)
			return
		}
	}
	ts.Fatalf("no worker serves in %s", args[1])
}

// cmdUnused waits until the entry in YARDBRIDGE_SERVER no longer uses a target: unused WORKER.
func (w *testEnv) cmdUnused(ts *testscript.TestScript, _ bool, args []string) {
	waitUntil(ts, args[0]+" is unused", func() bool {
		var d entry.Dump
		if api(ts, "/dump", &d) != nil {
			return false
		}
		for _, h := range d.Held {
			if h.Worker == args[0] && (h.Serving || h.InUse > 0) {
				return false
			}
		}
		return true
	})
}

// cmdQuiet checks that a target gets no request while others do: quiet WORKER LOAD.
func (w *testEnv) cmdQuiet(ts *testscript.TestScript, _ bool, args []string) {
	journal := func() standin.TargetStats {
		var j standin.TargetStats
		getJSON(ts, "http://"+w.standin+"/control/targets/"+url.PathEscape(args[0])+"/journal", &j)
		return j
	}
	before := journal().Requests
	w.cmdLoad(ts, false, strings.Fields("served "+args[1]))
	if after := journal().Requests; after != before {
		ts.Fatalf("%s got %d new requests", args[0], after-before)
	}
}

// cmdRebooted waits until a number of instances of a pool have rebooted and serve again: rebooted
// POOL N. That condition is permanent, whereas a phase may end too quickly to be observed.
func (w *testEnv) cmdRebooted(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	var rows []apiv1.InstanceStatus
	describe := func() string { return fmt.Sprintf("%s reboots of %s; the last response: %+v", args[1], args[0], rows) }
	waitFor(ts, describe, func() bool {
		rows = nil
		if api(ts, "/instances", &rows) != nil {
			return false
		}
		boots := w.boots(ts)
		back := 0
		for _, r := range rows {
			if r.Pool == args[0] && r.Phase == "in-service" && boots[r.Worker] > 0 {
				back++
			}
		}
		return back >= want
	})
}

// boots returns how often each worker has booted, by the platform's list.
func (w *testEnv) boots(ts *testscript.TestScript) map[string]int {
	var list platform.Listing
	getJSON(ts, "http://"+w.standin+"/instances", &list)
	boots := make(map[string]int)
	for _, l := range list.Workers {
		boots[l.ID] = l.BootCount
	}
	return boots
}
