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

// maxAttempts is the largest number of attempts for one request.
const maxAttempts = 3

// serveWithRetries sends a request, and retries it within the retry budget if that is safe.
func (c *call) serveWithRetries() error {
	c.d.budget.addRequest()
	for attempt := 1; ; attempt++ {
		a, err := c.attempt(c.transport())
		if err == nil && !c.isServerError(a) {
			return c.relay(a)
		}
		retry := attempt < maxAttempts && c.mayRetry(a, err) && c.d.budget.takeRetry()
		switch {
		case err == nil && !retry:
			return c.relay(a) // the target's own error
		case err == nil:
			c.storeResult(a)
		case !retry:
			return c.finalError(err)
		}
		if err != nil && !notRun(err) {
			c.unknownErr = err
		}
		c.lastFailedWorker = a.slot.Worker()
		c.d.Metrics.Retries.Inc(1)
	}
}

// isServerError reports whether a completely read response is a server error, so that another
// target may succeed.
func (c *call) isServerError(a *result) bool {
	return a.body != nil && a.response.StatusCode >= http.StatusInternalServerError
}

// storeResult ends an attempt whose response was read completely, and stores the response in case
// no later attempt reaches a target.
func (c *call) storeResult(a *result) {
	c.finishAttempt(a)
	c.storedResult = a
}

// finalError responds after an attempt that is not retried. A refusal of the last attempt does not
// count as a refusal of the request if an earlier attempt reached a target.
func (c *call) finalError(err error) error {
	switch {
	case !notRun(err):
		return err
	case c.storedResult != nil:
		return c.relayStored()
	case c.unknownErr != nil:
		return errkind.New(errkind.OutcomeUnknown, "%s; no other attempt was made: %s", errkind.Of(c.unknownErr).Message, errkind.Of(err).Message)
	}
	return err
}

// notRun reports whether an error means that no target received the request.
func notRun(err error) bool { return errkind.Of(err).Kind.Response().Outcome == errkind.NotRun }

// mayRetry reports whether a failed attempt may be retried: always if no target can have received
// the request, and otherwise only if the request is repeatable. A refusal for lack of a slot is
// final.
func (c *call) mayRetry(a *result, err error) bool {
	if a == nil || c.body == nil || !c.d.Clock.Now().Before(c.deadline) {
		return false
	}
	return errkind.Is(err, errkind.NoTarget) || c.service.IsRepeatable(c.r.Method)
}

// transport returns a transport that may send a request twice on its own only if the service allows
// that.
func (c *call) transport() *http.Transport {
	if c.service.IsRepeatable(c.r.Method) || c.r.Method == http.MethodPost && c.key == "" {
		// net/http sends a POST again only if no byte of it was written.
		return c.d.pooled
	}
	return c.d.unpooled
}

// result is the outcome of one attempt.
type result struct {
	slot            *slots.Slot
	response        *http.Response // nil if none was received
	body            *buffer        // the body, if it was read already
	cancel          context.CancelFunc
	slotRequestedAt time.Time // when the slot was requested
	sentAt          time.Time
	steps           traceTimes
}

// attempt acquires a slot and sends the request. The result is nil if no slot was acquired; if the
// error is not nil, the result no longer holds a slot.
func (c *call) attempt(t *http.Transport) (*result, error) {
	c.attempts++
	requestedAt := c.d.Clock.Now()
	latest := c.slotDeadline(requestedAt)
	slot, err := c.acquire(latest)
	if err != nil {
		return nil, err
	}
	a := &result{slot: slot, slotRequestedAt: requestedAt, sentAt: c.d.Clock.Now(), steps: traceTimes{clock: c.d.Clock}}
	if !a.sentAt.Before(latest) {
		slot.Release()
		return nil, errkind.New(errkind.DeadlinePassed, "a slot of pool %s was granted too late", c.service.Pool)
	}
	c.d.Outliers.RecordStart(slot.Worker())
	err = c.send(a, t)
	if err == nil {
		return a, nil
	}
	c.logFailure(a, err)
	c.recordOutcome(a, err)
	c.abortAttempt(a, err)
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
			Typical:  c.d.typical.of(c.service.Pool),
			Avoid:    c.lastFailedWorker,
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

// send sends the request and reads the response: completely if it is short, and only its headers
// otherwise.
func (c *call) send(a *result, t *http.Transport) error {
	ctx := c.withDeadline(a)
	c.d.Metrics.Sends.Inc(1)
	response, err := t.RoundTrip(c.outgoing(ctx, a.slot.Address()))
	if err != nil {
		return c.sendError(a.slot.Worker(), a.steps.connected.Load() != 0, err)
	}
	a.response = response
	return c.check(a)
}

// outgoing returns the request that is sent to the target.
func (c *call) outgoing(ctx context.Context, address string) *http.Request {
	header := make(http.Header, len(c.r.Header)+2)
	copyHeaders(header, c.r.Header)
	// net/http would take this header as permission to send a request twice.
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

// sendError returns the meaning of a failed attempt: not run if no connection was established, and
// an unknown outcome otherwise.
func (c *call) sendError(worker string, connected bool, err error) error {
	switch {
	case !connected && !c.d.Clock.Now().Before(c.deadline):
		return errkind.New(errkind.DeadlinePassed, "target %s could not be reached in time", worker)
	case !connected:
		return errkind.New(errkind.NoTarget, "target %s could not be reached: %v", worker, err)
	}
	return errkind.New(errkind.OutcomeUnknown, "target %s did not respond: %v", worker, err)
}

// recordOutcome reports the outcome of an attempt to the outlier detector.
func (c *call) recordOutcome(a *result, err error) {
	worker := a.slot.Worker()
	if err != nil {
		c.d.Outliers.RecordFailure(worker)
		return
	}
	if a.response.StatusCode >= http.StatusInternalServerError {
		c.d.Outliers.RecordFailure(worker)
		return
	}
	took := c.d.Clock.Now().Sub(a.sentAt)
	c.d.Outliers.RecordSuccess(worker, took)
	c.d.typical.add(c.service.Pool, took)
}

// abortAttempt ends an attempt whose target may still be working on it. Its slot is released after
// as much time again as the target has had, since closing the connection may not stop the work.
func (c *call) abortAttempt(a *result, err error) {
	if a.response != nil {
		// Nothing of a truncated response is used.
		_ = a.response.Body.Close()
	}
	a.cancel()
	if errkind.Is(err, errkind.NoTarget) {
		a.slot.Release()
		return
	}
	delay := min(c.d.Clock.Now().Sub(a.sentAt), maxSlotDelay)
	d := c.d
	d.active.Begin()
	go delayedRelease{d, a.slot, delay}.run()
}

// maxSlotDelay is the longest time for which a slot is kept after an aborted attempt.
const maxSlotDelay = 2 * time.Second

// delayedRelease releases a slot after a delay.
type delayedRelease struct {
	d     *Dispatcher
	slot  *slots.Slot
	delay time.Duration
}

func (r delayedRelease) run() {
	defer r.d.active.End()
	<-r.d.Clock.After(r.delay)
	r.slot.Release()
}

// typicalWeight is the weight of the newest request in a pool's typical time.
const typicalWeight = 0.05

// typicalTimes holds the typical time of each pool's requests in a slot; its zero value has none.
type typicalTimes struct {
	mu    sync.Mutex
	pools map[string]time.Duration
}

func (t *typicalTimes) of(pool string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pools[pool]
}

func (t *typicalTimes) add(pool string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = make(map[string]time.Duration)
	}
	old, known := t.pools[pool]
	if !known {
		t.pools[pool] = took
		return
	}
	t.pools[pool] = old + time.Duration(typicalWeight*float64(took-old))
}
