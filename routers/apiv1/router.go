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

// Prefix is the common prefix of all paths of this version.
const Prefix = "/api/v1"

// HeaderMinOffset is the request header with the offset up to which the response must at least
// reflect the log.
const HeaderMinOffset = "Yardbridge-Min-Offset"

// HeaderOffset is the response header with the offset up to which the response reflects the log.
const HeaderOffset = "Yardbridge-Offset"

// maxJSON is the largest request body, except for declarative files.
const maxJSON = 1 << 20

// Router handles the requests of operators and teams.
type Router struct {
	Entry *entry.Entry
	Jobs  *jobs.Service
}

// operator is the authenticated sender of a request.
type operator struct {
	name string
	team string // empty for an operator of all teams
}

// handlerFunc handles one authenticated request.
type handlerFunc func(o operator, r *http.Request) (any, error)

// Handler returns the handler of all routes of the API.
func (t *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	routes := map[string]handlerFunc{
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

// authenticated returns a handler that accepts only requests with a known token.
func (t *Router) authenticated(a handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := t.authenticate(r)
		if err == nil {
			err = t.awaitOffset(r)
		}
		var response any
		if err == nil {
			response, err = a(o, r)
		}
		if err != nil {
			errkind.Write(w, "", err)
			return
		}
		t.write(w, response)
	}
}

func (t *Router) write(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOffset, formatOffset(t.Entry.Ledger.State().Offset))
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The error of a client that has disconnected is ignored.
	_ = encoder.Encode(response)
}

// authenticate returns the operator to whom the request's token belongs.
func (t *Router) authenticate(r *http.Request) (operator, error) {
	secret, hasSecret := bearer.Secret(r)
	if !hasSecret {
		return operator{}, errkind.New(errkind.Unauthorized, "the Authorization header must be: Bearer TOKEN")
	}
	var found *setting.Token
	tokens := t.Entry.CurrentSettings().Tokens
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

// requireAllTeams returns an error unless the operator has access to all teams.
func (o operator) requireAllTeams() error {
	if o.team != "" {
		return errkind.New(errkind.Forbidden, "token %s is for team %s only", o.name, o.team)
	}
	return nil
}

// maySee reports whether the operator may see objects of a team.
func (o operator) maySee(team string) bool { return o.team == "" || o.team == team }

func readJSON[T any](r *http.Request) (T, error) {
	var v T
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, errkind.New(errkind.BadRequest, "body: %v", err)
	}
	return v, nil
}
