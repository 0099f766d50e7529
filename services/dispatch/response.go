// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// maxBufferedBody is the largest response that is read to its end before any of it is passed on, so
// that a truncated one can be reported as such or retried.
const maxBufferedBody = 256 << 10

// chunkBytes is the size of the chunks in which larger responses are passed on.
const chunkBytes = 32 << 10

// buffer holds a short response; buffers are reused.
type buffer struct{ bytes.Buffer }

// check verifies that the response belongs to the request, and reads its body if it is short.
func (c *call) check(a *result) error {
	worker := a.slot.Worker()
	header := a.response.Header
	if header.Get(HeaderLeaving) != "" && c.d.OnLeaving != nil {
		c.d.OnLeaving([]string{worker})
	}
	if got := header.Get(HeaderRequestID); got != "" && got != c.id {
		return errkind.New(errkind.BadResponse, "target %s sent the response to another request", worker)
	}
	n := a.response.ContentLength
	if n < 0 || n > maxBufferedBody {
		return nil
	}
	b, _ := c.d.buffers.Get().(*buffer)
	b.Reset()
	b.Grow(int(n) + bytes.MinRead)
	if _, err := b.ReadFrom(a.response.Body); err != nil {
		c.d.buffers.Put(b)
		return errkind.New(errkind.OutcomeUnknown, "the response of target %s was truncated: %v", worker, err)
	}
	a.body = b
	return nil
}

// relay passes a response on to the caller and releases the slot.
func (c *call) relay(a *result) error {
	c.relayHeaders(a)
	if a.body != nil {
		// The slot is released before the response is sent to the caller, since the target has
		// finished its work.
		c.finishAttempt(a)
		c.relayBuffered(a)
		return nil
	}
	c.relayChunks(a)
	return nil
}

// relayStored passes on the stored response of an earlier attempt.
func (c *call) relayStored() error {
	c.relayHeaders(c.storedResult)
	c.relayBuffered(c.storedResult)
	return nil
}

func (c *call) relayHeaders(a *result) {
	header := c.w.Header()
	copyHeaders(header, a.response.Header)
	header[HeaderRequestID] = []string{c.id}
	header[HeaderConfig] = []string{strconv.FormatUint(c.version, 10)}
	header[errkind.HeaderOutcome] = []string{string(errkind.Ran)}
}

// finishAttempt ends an attempt whose response was read completely.
func (c *call) finishAttempt(a *result) {
	c.recordOutcome(a, nil)
	a.cancel()
	a.slot.Release()
}

// relayBuffered passes on a response that is already read completely.
func (c *call) relayBuffered(a *result) {
	c.w.WriteHeader(a.response.StatusCode)
	// The error of a caller that has disconnected is ignored.
	_, _ = c.w.Write(a.body.Bytes())
	c.d.buffers.Put(a.body)
}

// relayChunks passes on a large response as it arrives. If the target truncates it, the caller's
// connection is aborted, so that a part never looks like a complete response.
func (c *call) relayChunks(a *result) {
	if c.service.Stream {
		c.relayStream(a)
		return
	}
	c.w.WriteHeader(a.response.StatusCode)
	if err := c.copyChunks(a.response.Body); err != nil {
		c.recordOutcome(a, err)
		c.abortAttempt(a, err)
		c.d.Logger.Warn().Str("request", c.id).Str("worker", a.slot.Worker()).Err(err).Msg("response truncated")
		panic(http.ErrAbortHandler)
	}
	c.finishAttempt(a)
}

// copyChunks reads the target's response to its end even if the caller has disconnected, so that
// the slot stays in use as long as the target works.
func (c *call) copyChunks(body io.Reader) error {
	chunk := make([]byte, chunkBytes)
	callerConnected := true
	flush := http.NewResponseController(c.w)
	for {
		n, err := body.Read(chunk)
		if n > 0 && callerConnected {
			_, writeErr := c.w.Write(chunk[:n])
			callerConnected = writeErr == nil && flush.Flush() == nil
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errkind.New(errkind.OutcomeUnknown, "the response of the target was truncated: %v", err)
		}
	}
}
