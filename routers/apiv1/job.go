// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package apiv1

import (
	"net/http"

	"github.com/yardbridge/yardbridge/services/jobs"
)

func (t *Router) jobs(o operator, _ *http.Request) (any, error) {
	return t.Jobs.List(o.team), nil
}

func (t *Router) job(o operator, r *http.Request) (any, error) {
	return t.Jobs.Get(o.team, r.PathValue("id"))
}

func (t *Router) submit(o operator, r *http.Request) (any, error) {
	q, err := readJSON[jobs.Submission](r)
	if err != nil {
		return nil, err
	}
	return t.Jobs.Submit(r.Context(), o.team, q)
}

// CancelRequest is the body of POST /jobs/cancel.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

func (t *Router) cancel(o operator, r *http.Request) (any, error) {
	q, err := readJSON[CancelRequest](r)
	if err != nil {
		return nil, err
	}
	return t.Jobs.Cancel(r.Context(), o.team, q.IDs)
}
