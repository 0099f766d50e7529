// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// maxQueuedBytes bounds the lines that wait to be written: some seconds of the log of a
// busy node.
const maxQueuedBytes = 1 << 20

// AsyncWriter accepts lines without ever waiting for the output. A line that finds the
// queue full is dropped and counted. Its zero value with an output is ready for use.
type AsyncWriter struct {
	Output io.Writer

	mu           sync.Mutex
	pending      []byte
	spare        []byte
	dropped      int   // since the last line that reported them
	droppedTotal int64 // since the start
	truncated    bool  // the last line was written only in part
	writing      bool
	idle         chan struct{} // closed once nothing is being written
}

// Write queues a line.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending)+len(line) > maxQueuedBytes {
		q.dropped++
		q.droppedTotal++
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	if !q.writing {
		q.writing, q.idle = true, make(chan struct{})
		go q.run()
	}
	return len(line), nil
}

// run writes queued lines until there are none.
func (q *AsyncWriter) run() {
	for {
		q.mu.Lock()
		lines, dropped, truncated := q.pending, q.dropped, q.truncated
		if len(lines) == 0 {
			q.writing = false
			close(q.idle)
			q.mu.Unlock()
			return
		}
		q.pending, q.spare, q.dropped, q.truncated = q.spare[:0], nil, 0, false
		q.mu.Unlock()
		if truncated {
			lines = append([]byte{'\n'}, lines...)
		}
		if dropped > 0 {
			lines = fmt.Appendf(lines, `{"level":"warn","event":"log","dropped":%d,"message":"lines were dropped: the queue was full, or they could not be written"}`+"\n", dropped)
		}
		q.writeLines(lines)
		q.mu.Lock()
		q.spare = lines[:0]
		q.mu.Unlock()
	}
}

// Retries for an output that is full: a pipe in non-blocking mode whose reader lags.
const (
	retryPause = 5 * time.Millisecond
	maxRetries = 200
)

// atomicBytes is the largest write to a pipe that is atomic: at least 512 by POSIX, and
// this on Linux; larger writes were truncated.
const atomicBytes = 4096

// writeLines writes complete lines. A line that cannot be written is only counted as
// dropped, and a truncated line is terminated.
func (q *AsyncWriter) writeLines(lines []byte) {
	for try := 0; len(lines) > 0; {
		n, err := q.Output.Write(firstLines(lines))
		lines = lines[n:]
		switch {
		case err == nil:
		case errors.Is(err, syscall.EAGAIN) && try < maxRetries:
			try++
			time.Sleep(retryPause)
		default:
			q.countUnwritten(lines)
			return
		}
	}
}

// firstLines returns as many complete lines as an atomic write to a pipe can take.
func firstLines(lines []byte) []byte {
	if len(lines) <= atomicBytes {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:atomicBytes], '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines[:atomicBytes]
}

// countUnwritten counts the lines that were not written completely.
func (q *AsyncWriter) countUnwritten(unwritten []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := bytes.Count(unwritten, []byte{'\n'})
	q.dropped += n
	q.droppedTotal += int64(n)
	q.truncated = true
}

// Dropped returns how many lines were dropped since the start.
func (q *AsyncWriter) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.droppedTotal
}

// flushTimeout bounds the wait for lines to be written at the end of a process: a reader
// that reads nothing for a second must not delay a shutdown, which has some seconds in
// total.
const flushTimeout = time.Second

// Flush waits until all queued lines are written or the timeout is over.
func (q *AsyncWriter) Flush() {
	q.mu.Lock()
	idle, writing := q.idle, q.writing
	q.mu.Unlock()
	if !writing {
		return
	}
	select {
	case <-idle:
	case <-time.After(flushTimeout):
	}
}
