// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package apiv1

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/yardbridge/yardbridge/entry"
	"github.com/yardbridge/yardbridge/modules/bearer"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/services/jobs"
)

// Prefix is where every path of this version begins.
const Prefix = "/api/v1"

// HeaderMinOffset asks that the answer show at least the log up to an offset.
const HeaderMinOffset = "Yardbridge-Min-Offset"

// HeaderOffset tells up to where the answer shows the log.
const HeaderOffset = "Yardbridge-Offset"

// maxJSON bounds the body of a request but for files.
const maxJSON = 1 << 20

// Router answers operators and teams.
type Router struct {
	Entry *entry.Entry
	Jobs  *jobs.Service
}

// operator is who asks.
type operator struct {
	name string
	team string // empty for an operator of everything
}

// action answers one authenticated request.
type action func(o operator, r *http.Request) (any, error)

// Handler returns the API's routes.
func (t *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	routes := map[string]action{
		"GET /status":                t.status,
		"GET /objects":               t.objects,
		"GET /objects/{kind}/{name}": t.object,
		"GET /instances":             t.instances,
		"GET /dump":                  t.dump,
		"GET /metrics":               t.metrics,
		"POST /plan":                 t.plan,
		"POST /apply":                t.apply,
		"GET /jobs":                  t.jobs,
		"GET /jobs/{id}":             t.job,
		"POST /jobs":                 t.submit,
		"POST /jobs/cancel":          t.cancel,
	}
	for pattern, a := range routes {
		method, path, _ := strings.Cut(pattern, " ")
		mux.HandleFunc(method+" "+Prefix+path, t.authenticated(a))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		errkind.Write(w, "", errkind.New(errkind.NotFound, "%s %.80q is not part of the API", r.Method, r.URL.Path))
	})
	return mux
}

// authenticated lets only bearers of a token through.
func (t *Router) authenticated(a action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := t.who(r)
		if err == nil {
			err = t.awaitOffset(r)
		}
		var answer any
		if err == nil {
			answer, err = a(o, r)
		}
		if err != nil {
			errkind.Write(w, "", err)
			return
		}
		t.write(w, answer)
	}
}

func (t *Router) write(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOffset, formatOffset(t.Entry.Ledger.State().Offset))
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// An operator that has gone away needs no answer.
	_ = encoder.Encode(answer)
}

// who returns the bearer of the request's token.
func (t *Router) who(r *http.Request) (operator, error) {
	secret, bears := bearer.Secret(r)
	if !bears {
		return operator{}, errkind.New(errkind.Unauthorized, "the Authorization header must be: Bearer TOKEN")
	}
	var found *setting.Token
	tokens := t.Entry.CurrentSetting().Tokens
	for i, k := range tokens {
		if subtle.ConstantTimeCompare([]byte(k.Secret), []byte(secret)) == 1 {
			found = &tokens[i]
		}
	}
	if found == nil {
		return operator{}, errkind.New(errkind.Unauthorized, "the token is not known")
	}
	return operator{name: found.Name, team: found.Team}, nil
}

// everything refuses what only an operator of everything may see or do.
func (o operator) everything() error {
	if o.team != "" {
		return errkind.New(errkind.Forbidden, "token %s is for team %s only", o.name, o.team)
	}
	return nil
}

// sees reports whether what belongs to a team may be shown.
func (o operator) sees(team string) bool { return o.team == "" || o.team == team }

func readJSON[T any](r *http.Request) (T, error) {
	var v T
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, errkind.New(errkind.BadRequest, "body: %v", err)
	}
	return v, nil
}
