// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bytes"
	stderrors "errors"
	"io"
	"net/http"
	"time"
)

// streamCheckPeriod is how often a stream checks whether it must end.
const streamCheckPeriod = 100 * time.Millisecond

// streamChunk is a chunk of a stream, or its end.
type streamChunk struct {
	data []byte
	err  error
}

// streamReader reads a stream chunk by chunk.
type streamReader struct {
	a      *result
	chunks chan streamChunk
	quit   chan struct{}
}

func (s *streamReader) run() {
	defer close(s.chunks)
	for {
		data := make([]byte, chunkBytes)
		n, err := s.a.response.Body.Read(data)
		select {
		case s.chunks <- streamChunk{data[:n], err}:
		case <-s.quit:
			return
		}
		if err != nil {
			return
		}
	}
}

// relayStream passes a stream on until it ends, the caller disconnects, the entry stops or the
// target is drained. In the last two cases it is ended cleanly, after a complete line and with a
// trailer that gives the reason, so that the caller can request it again elsewhere.
func (c *call) relayStream(a *result) {
	c.w.Header().Set("Trailer", HeaderEnded)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(a.response.StatusCode)
	reader := &streamReader{a: a, chunks: make(chan streamChunk), quit: make(chan struct{})}
	go reader.run()
	broken := c.relayLines(a, reader)
	close(reader.quit)
	// Closing the connection to the target ends the target's work.
	a.cancel()
	_ = a.response.Body.Close()
	c.recordOutcome(a, nil)
	a.slot.Release()
	if broken {
		panic(http.ErrAbortHandler)
	}
}

// relayLines passes complete lines on and reports whether the stream was truncated.
func (c *call) relayLines(a *result, reader *streamReader) (broken bool) {
	var partial []byte // what follows the last complete line
	for {
		select {
		case p, ok := <-reader.chunks:
			if !ok {
				return false
			}
			cut := bytes.LastIndexByte(p.data, '\n') + 1
			line := append(partial, p.data[:cut]...)
			if cut == 0 && len(partial)+len(p.data) < chunkBytes {
				line, partial = nil, append(partial, p.data...)
			} else {
				partial = append([]byte(nil), p.data[cut:]...)
			}
			if p.err != nil {
				return !c.endStream(append(line, partial...), p.err)
			}
			if !c.writeChunk(line) {
				return false
			}
		case <-c.d.stopStreams:
			c.w.Header().Set(HeaderEnded, "stopping")
			return false
		case <-c.r.Context().Done():
			return false
		case <-c.d.Clock.After(streamCheckPeriod):
			if !a.slot.Usable() {
				c.w.Header().Set(HeaderEnded, "draining")
				return false
			}
		}
	}
}

// endStream writes the last chunk and reports whether the target ended the stream itself.
func (c *call) endStream(last []byte, err error) bool {
	c.writeChunk(last)
	return stderrors.Is(err, io.EOF)
}

func (c *call) writeChunk(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if _, err := c.w.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(c.w).Flush() == nil
}
