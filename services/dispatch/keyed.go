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

// serveOnce claims the key on the log, dispatches at most once, and records
// how that ended.
func (c *call) serveOnce() error {
	c.d.Metrics.Keyed.Inc(1)
	// The claim may take as long as the request, and no longer.
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
	a, err := c.attempt(c.d.single)
	result := record.Result{Key: c.key, Claim: claimed.Offset}
	if err != nil {
		result.NotRun = errkind.Of(err).Kind.Response().Outcome == errkind.NotRun
		c.finish(result)
		return err
	}
	result.Reply = replyOf(a)
	c.finish(result)
	return c.relay(a)
}

// finish records the result beside the answer: the caller need not wait, since
// a repeat is refused until the result is there.
func (c *call) finish(r record.Result) {
	c.d.active.Begin()
	go finisher{c.d, r}.run()
}

// finisher records one result.
type finisher struct {
	d      *Dispatcher
	result record.Result
}

func (f finisher) run() {
	defer f.d.active.End()
	f.d.Once.Finish(f.result)
}

// replyOf returns what is kept of an answer for repeats.
func replyOf(a *answer) *record.Reply {
	reply := &record.Reply{
		Status:      a.response.StatusCode,
		ContentType: a.response.Header.Get("Content-Type"),
	}
	if a.whole == nil || a.whole.Len() > state.MaxReplyBytes {
		reply.Omitted = true
		return reply
	}
	reply.Body = append([]byte(nil), a.whole.Bytes()...)
	return reply
}

// HeaderReplayed marks the kept answer of an earlier request with the key.
const HeaderReplayed = "Yardbridge-Replayed"

// replay answers a repeat with the first answer.
func (c *call) replay(r *record.Reply) {
	header := c.w.Header()
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	header.Set(HeaderReplayed, "true")
	header.Set(errkind.HeaderOutcome, string(errkind.Ran))
	c.w.WriteHeader(r.Status)
	// A caller that has gone away needs no answer.
	_, _ = c.w.Write(r.Body)
}
