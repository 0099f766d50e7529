// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package apiv1

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/rollout"
)

// offsetWait is how long a request waits at most for the offset that it requires.
const offsetWait = 5 * time.Second

func formatOffset(offset uint64) string { return strconv.FormatUint(offset, 10) }

// awaitOffset waits until the entry has the offset that the request names, so that no client sees
// an older state than it has already seen on another entry.
func (t *Router) awaitOffset(r *http.Request) error {
	text := r.Header.Get(HeaderMinOffset)
	if text == "" {
		return nil
	}
	offset, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errkind.New(errkind.BadRequest, "%s: %q is not an offset", HeaderMinOffset, text)
	}
	ctx, cancel := context.WithTimeout(r.Context(), offsetWait)
	defer cancel()
	return t.Entry.Ledger.WaitFor(ctx, state.Position{Offset: offset})
}

// ObjectList is the response of GET /objects.
type ObjectList struct {
	Version uint64            `json:"version"`
	Objects []manifest.Object `json:"objects"`
}

func (t *Router) objects(o operator, _ *http.Request) (any, error) {
	c := t.Entry.Ledger.State().Catalog
	response := ObjectList{Version: c.Version, Objects: []manifest.Object{}}
	for _, object := range c.Active() {
		if o.maySee(object.Owner()) {
			response.Objects = append(response.Objects, object)
		}
	}
	return response, nil
}

func (t *Router) object(o operator, r *http.Request) (any, error) {
	ref := manifest.Ref{Kind: manifest.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	object, ok := t.Entry.Ledger.State().Catalog.Get(ref)
	if !ok || !o.maySee(object.Owner()) {
		return nil, errkind.New(errkind.NotFound, "%s is not declared", ref)
	}
	return object, nil
}

// parseFile parses the declarative file and the query of a request.
func (t *Router) parseFile(o operator, r *http.Request) (rollout.Request, error) {
	q := rollout.Request{Operator: o.name, Team: o.team}
	data, err := io.ReadAll(io.LimitReader(r.Body, manifest.MaxFileBytes+1))
	if err != nil {
		return q, errkind.New(errkind.SlowRequest, "the file was not received: %v", err)
	}
	query := r.URL.Query()
	name := query.Get("file")
	if name == "" {
		name = "file"
	}
	file, problems := manifest.Parse(name, string(data))
	if err := problems.Err(); err != nil {
		return q, err
	}
	q.File = file
	q.AllowShortage = query.Get("short") == "true"
	if text := query.Get("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return q, errkind.New(errkind.BadRequest, "base: %q is not a version", text)
		}
		q.Base = &base
	}
	return q, nil
}

func (t *Router) plan(o operator, r *http.Request) (any, error) {
	q, err := t.parseFile(o, r)
	if err != nil {
		return nil, err
	}
	return t.Entry.Rollout.Plan(q)
}

func (t *Router) apply(o operator, r *http.Request) (any, error) {
	q, err := t.parseFile(o, r)
	if err != nil {
		return nil, err
	}
	result, err := t.Entry.Rollout.Apply(r.Context(), q)
	if err != nil {
		return nil, err
	}
	t.Entry.Logger.Info().Str("operator", o.name).Uint64("version", result.Version).Strs("changed", result.Changed).Msg("configuration applied")
	return result, nil
}
