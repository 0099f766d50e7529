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

// wholeBody is the longest answer that is read to its end before any of it is
// passed on, so that a broken one can be answered truthfully or sent again.
const wholeBody = 256 << 10

// copyBytes is the size of the pieces in which longer answers are passed on.
const copyBytes = 32 << 10

// buffer holds a short answer; buffers are used again.
type buffer struct{ bytes.Buffer }

// check makes sure that the answer belongs to the request, and reads it if it
// is short.
func (c *call) check(a *answer) error {
	worker := a.slot.Worker()
	header := a.response.Header
	if header.Get(HeaderLeaving) != "" && c.d.OnLeaving != nil {
		c.d.OnLeaving([]string{worker})
	}
	if got := header.Get(HeaderRequestID); got != "" && got != c.id {
		return errkind.New(errkind.BadResponse, "target %s answered another request", worker)
	}
	n := a.response.ContentLength
	if n < 0 || n > wholeBody {
		return nil
	}
	b, _ := c.d.buffers.Get().(*buffer)
	b.Reset()
	b.Grow(int(n) + bytes.MinRead)
	if _, err := b.ReadFrom(a.response.Body); err != nil {
		c.d.buffers.Put(b)
		return errkind.New(errkind.OutcomeUnknown, "target %s broke its answer off: %v", worker, err)
	}
	a.whole = b
	return nil
}

// relay passes an answer on to the caller and gives the slot back.
func (c *call) relay(a *answer) error {
	c.relayHeaders(a)
	if a.whole != nil {
		// The slot is free before the caller has the answer, since the target
		// has nothing left to do.
		c.end(a)
		c.relayWhole(a)
		return nil
	}
	c.relayPieces(a)
	return nil
}

// relayKept passes on the answer of an attempt that has ended.
func (c *call) relayKept() error {
	c.relayHeaders(c.kept)
	c.relayWhole(c.kept)
	return nil
}

func (c *call) relayHeaders(a *answer) {
	header := c.w.Header()
	copyHeaders(header, a.response.Header)
	header[HeaderRequestID] = []string{c.id}
	header[HeaderConfig] = []string{strconv.FormatUint(c.version, 10)}
	header[errkind.HeaderOutcome] = []string{string(errkind.Ran)}
}

// end ends an attempt whose answer was read to its end.
func (c *call) end(a *answer) {
	c.judge(a, nil)
	a.cancel()
	a.slot.Release()
}

// relayWhole passes on an answer that was read already.
func (c *call) relayWhole(a *answer) {
	c.w.WriteHeader(a.response.StatusCode)
	// A caller that has gone away needs no answer.
	_, _ = c.w.Write(a.whole.Bytes())
	c.d.buffers.Put(a.whole)
}

// relayPieces passes on a long answer as it comes. If it breaks off, so does
// the caller's connection: a part never looks like the whole.
func (c *call) relayPieces(a *answer) {
	if c.service.Stream {
		c.relayStream(a)
		return
	}
	c.w.WriteHeader(a.response.StatusCode)
	if err := c.copyPieces(a.response.Body); err != nil {
		c.judge(a, err)
		c.drop(a, err)
		c.d.Logger.Warn().Str("request", c.id).Str("worker", a.slot.Worker()).Err(err).Msg("answer broken off")
		panic(http.ErrAbortHandler)
	}
	c.end(a)
}

// copyPieces reads to the end of the target's answer also when the caller has
// gone away, so that the slot is in use as long as the target is.
func (c *call) copyPieces(body io.Reader) error {
	piece := make([]byte, copyBytes)
	callerThere := true
	flush := http.NewResponseController(c.w)
	for {
		n, err := body.Read(piece)
		if n > 0 && callerThere {
			_, writeErr := c.w.Write(piece[:n])
			callerThere = writeErr == nil && flush.Flush() == nil
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errkind.New(errkind.OutcomeUnknown, "the target broke its answer off: %v", err)
		}
	}
}
