// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/slots"
)

// maxAttempts bounds how often one request is sent.
const maxAttempts = 3

// serveUsual sends a request, and again within the budget where that is safe.
func (c *call) serveUsual() error {
	c.d.budget.earn()
	for attempt := 1; ; attempt++ {
		a, err := c.attempt(c.transport())
		if err == nil && !c.failed(a) {
			return c.relay(a)
		}
		again := attempt < maxAttempts && c.mayRetry(a, err) && c.d.budget.spend()
		switch {
		case err == nil && !again:
			return c.relay(a) // the target's own error
		case err == nil:
			c.keep(a)
		case !again:
			return c.giveUp(err)
		}
		if err != nil && !notRun(err) {
			c.lost = err
		}
		c.failedOn = a.slot.Worker()
		c.d.Metrics.Retries.Inc(1)
	}
}

// failed reports whether a whole answer is a server error, so that another
// target may do better.
func (c *call) failed(a *answer) bool {
	return a.whole != nil && a.response.StatusCode >= http.StatusInternalServerError
}

// keep ends an attempt whose answer was read to its end, and keeps the answer
// in case that no later attempt reaches a target.
func (c *call) keep(a *answer) {
	c.end(a)
	c.kept = a
}

// giveUp answers after an attempt that failed for good. A refusal of the last
// attempt is no refusal of the request where one before it reached a target.
func (c *call) giveUp(err error) error {
	switch {
	case !notRun(err):
		return err
	case c.kept != nil:
		return c.relayKept()
	case c.lost != nil:
		return errkind.New(errkind.OutcomeUnknown, "%s; no other attempt was made: %s", errkind.Of(c.lost).Message, errkind.Of(err).Message)
	}
	return err
}

// notRun reports whether an error says that no target had the request.
func notRun(err error) bool { return errkind.Of(err).Kind.Response().Outcome == errkind.NotRun }

// mayRetry reports whether a failed attempt may be followed by another one:
// always while no target can have seen it, and else only if the request may
// be repeated. A refusal for want of a slot is final.
func (c *call) mayRetry(a *answer, err error) bool {
	if a == nil || c.body == nil || !c.d.Clock.Now().Before(c.deadline) {
		return false
	}
	return errkind.Is(err, errkind.NoTarget) || c.service.IsRepeatable(c.r.Method)
}

// transport returns connections that the library may send a request on twice
// only where the service allows that.
func (c *call) transport() *http.Transport {
	if c.service.IsRepeatable(c.r.Method) || c.r.Method == http.MethodPost && c.key == "" {
		// The library sends a POST again only if no byte of it was written.
		return c.d.shared
	}
	return c.d.single
}

// answer is what came of one attempt.
type answer struct {
	slot     *slots.Slot
	response *http.Response // nil for none
	whole    *buffer        // the body, where it was read already
	cancel   context.CancelFunc
	asked    time.Time // for the slot
	sent     time.Time
	steps    steps
}

// attempt gets a slot and sends the request. The answer is nil where no slot
// was had; it holds no slot any more where the error is not nil.
func (c *call) attempt(t *http.Transport) (*answer, error) {
	c.attempts++
	asked := c.d.Clock.Now()
	latest := c.latest(asked)
	slot, err := c.acquire(latest)
	if err != nil {
		return nil, err
	}
	a := &answer{slot: slot, asked: asked, sent: c.d.Clock.Now(), steps: steps{clock: c.d.Clock}}
	if !a.sent.Before(latest) {
		slot.Release()
		return nil, errkind.New(errkind.DeadlinePassed, "a slot of pool %s came too late", c.service.Pool)
	}
	c.d.Outliers.RecordStart(slot.Worker())
	err = c.send(a, t)
	if err == nil {
		return a, nil
	}
	c.tell(a, err)
	c.judge(a, err)
	c.drop(a, err)
	return a, err
}

// acquire waits for a slot until a time.
func (c *call) acquire(latest time.Time) (*slots.Slot, error) {
	for {
		slot, err := c.d.Holder.Acquire(c.r.Context(), slots.AcquireRequest{
			Pool:     c.service.Pool,
			Class:    c.class,
			Deadline: latest,
			Limit:    c.service.QueueLength,
			Typical:  c.d.usual.of(c.service.Pool),
			Avoid:    c.failedOn,
		})
		if err != nil {
			return nil, err
		}
		if slot.Usable() {
			return slot, nil
		}
		slot.Release()
	}
}

// send sends the request and reads the answer: all of it if it is short, and
// else its headers.
func (c *call) send(a *answer, t *http.Transport) error {
	ctx := c.withDeadline(a)
	c.d.Metrics.Sends.Inc(1)
	response, err := t.RoundTrip(c.outgoing(ctx, a.slot.Address()))
	if err != nil {
		return c.sendError(a.slot.Worker(), a.steps.connected.Load() != 0, err)
	}
	a.response = response
	return c.check(a)
}

// outgoing is the request as the target gets it.
func (c *call) outgoing(ctx context.Context, address string) *http.Request {
	header := make(http.Header, len(c.r.Header)+2)
	copyHeaders(header, c.r.Header)
	// The library would take this header as leave to send a request twice.
	delete(header, HeaderIdempotencyKey)
	if c.key != "" {
		header.Set(HeaderTargetKey, c.key)
	}
	header[HeaderRequestID] = []string{c.id}
	header[HeaderDeadline] = []string{strconv.FormatInt(c.deadline.UnixMilli(), 10)}
	out := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: c.path, RawQuery: c.r.URL.RawQuery},
		Host:          c.r.Host,
		Header:        header,
		ContentLength: c.r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	switch {
	case c.body == nil:
		out.Body = c.r.Body
	case len(c.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(c.body))
		out.ContentLength = int64(len(c.body))
	}
	return out.WithContext(ctx)
}

// sendError says what a failed attempt means: not run while there was no
// connection, and else an unknown outcome.
func (c *call) sendError(worker string, connected bool, err error) error {
	switch {
	case !connected && !c.d.Clock.Now().Before(c.deadline):
		return errkind.New(errkind.DeadlinePassed, "target %s could not be reached in time", worker)
	case !connected:
		return errkind.New(errkind.NoTarget, "target %s could not be reached: %v", worker, err)
	}
	return errkind.New(errkind.OutcomeUnknown, "target %s did not answer: %v", worker, err)
}

// judge tells the watch how an attempt ended.
func (c *call) judge(a *answer, err error) {
	worker := a.slot.Worker()
	if err != nil {
		c.d.Outliers.RecordFailure(worker)
		return
	}
	if a.response.StatusCode >= http.StatusInternalServerError {
		c.d.Outliers.RecordFailure(worker)
		return
	}
	took := c.d.Clock.Now().Sub(a.sent)
	c.d.Outliers.RecordSuccess(worker, took)
	c.d.usual.add(c.service.Pool, took)
}

// drop ends an attempt whose target may still be at work: its slot rests as
// long again as the target has had, since the connection's end may not stop
// the work.
func (c *call) drop(a *answer, err error) {
	if a.response != nil {
		// Nothing of a broken answer is used.
		_ = a.response.Body.Close()
	}
	a.cancel()
	if errkind.Is(err, errkind.NoTarget) {
		a.slot.Release()
		return
	}
	rest := min(c.d.Clock.Now().Sub(a.sent), maxRest)
	d := c.d
	d.active.Begin()
	go restingSlot{d, a.slot, rest}.run()
}

// maxRest bounds how long a slot rests after a broken attempt.
const maxRest = 2 * time.Second

// restingSlot gives a slot back after a while.
type restingSlot struct {
	d    *Dispatcher
	slot *slots.Slot
	rest time.Duration
}

func (r restingSlot) run() {
	defer r.d.active.End()
	<-r.d.Clock.After(r.rest)
	r.slot.Release()
}

// typicalWeight is the weight of the newest request in a pool's usual time.
const typicalWeight = 0.05

// usualTimes holds the usual time of each pool's requests in a slot; its zero
// value knows none.
type usualTimes struct {
	mu    sync.Mutex
	pools map[string]time.Duration
}

func (u *usualTimes) of(pool string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pools[pool]
}

func (u *usualTimes) add(pool string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pools == nil {
		u.pools = make(map[string]time.Duration)
	}
	old, known := u.pools[pool]
	if !known {
		u.pools[pool] = took
		return
	}
	u.pools[pool] = old + time.Duration(typicalWeight*float64(took-old))
}
