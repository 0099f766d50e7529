// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/once"
)

// serveKeyed claims the key on the log, dispatches the request at most once, and records its
// outcome.
func (c *call) serveKeyed() error {
	c.d.Metrics.Keyed.Inc(1)
	// The claim must complete within the deadline of the request.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancel()
	claimed, reply, err := c.d.Once.Claim(ctx, c.key, once.Fingerprint(c.r.Method, c.path, c.body))
	if err != nil {
		if reply != nil && !reply.Omitted {
			c.replay(reply)
			return nil
		}
		return err
	}
	a, err := c.attempt(c.d.unpooled)
	result := record.Result{Key: c.key, Claim: claimed.Offset}
	if err != nil {
		result.NotRun = errkind.Of(err).Kind.Response().Outcome == errkind.NotRun
		c.recordResult(result)
		return err
	}
	result.Reply = replyOf(a)
	c.recordResult(result)
	return c.relay(a)
}

// recordResult records the result concurrently with the response: the caller need not wait, since a
// repeated request is refused until the result is recorded.
func (c *call) recordResult(r record.Result) {
	c.d.active.Begin()
	go resultRecorder{c.d, r}.run()
}

// resultRecorder records one result.
type resultRecorder struct {
	d      *Dispatcher
	result record.Result
}

func (f resultRecorder) run() {
	defer f.d.active.End()
	f.d.Once.Finish(f.result)
}

// replyOf returns the part of a response that is stored for repeated requests.
func replyOf(a *result) *record.Reply {
	reply := &record.Reply{
		Status:      a.response.StatusCode,
		ContentType: a.response.Header.Get("Content-Type"),
	}
	if a.body == nil || a.body.Len() > state.MaxReplyBytes {
		reply.Omitted = true
		return reply
	}
	reply.Body = append([]byte(nil), a.body.Bytes()...)
	return reply
}

// HeaderReplayed marks the stored response of an earlier request with the key.
const HeaderReplayed = "Yardbridge-Replayed"

// replay responds to a repeated request with the stored response.
func (c *call) replay(r *record.Reply) {
	header := c.w.Header()
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	header.Set(HeaderReplayed, "true")
	header.Set(errkind.HeaderOutcome, string(errkind.Ran))
	c.w.WriteHeader(r.Status)
	// The error of a caller that has disconnected is ignored.
	_, _ = c.w.Write(r.Body)
}
