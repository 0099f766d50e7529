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

// queueBytes bounds the lines that wait to be written: some seconds of a busy
// node's.
const queueBytes = 1 << 20

// AsyncWriter takes lines without ever waiting for where they go: one that finds the
// queue full is dropped and counted. Its zero value with a target works.
type AsyncWriter struct {
	Output io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int   // since the last line that told of them
	lost    int64 // in all
	torn    bool  // the last line that was written was cut off
	writing bool
	idle    chan struct{} // closed once nothing is being written
}

// Write takes a line.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(line) > queueBytes {
		q.dropped++
		q.lost++
		return len(line), nil
	}
	q.waiting = append(q.waiting, line...)
	if !q.writing {
		q.writing, q.idle = true, make(chan struct{})
		go q.run()
	}
	return len(line), nil
}

// run writes what waits until nothing does.
func (q *AsyncWriter) run() {
	for {
		q.mu.Lock()
		lines, dropped, torn := q.waiting, q.dropped, q.torn
		if len(lines) == 0 {
			q.writing = false
			close(q.idle)
			q.mu.Unlock()
			return
		}
		q.waiting, q.spare, q.dropped, q.torn = q.spare[:0], nil, 0, false
		q.mu.Unlock()
		if torn {
			lines = append([]byte{'\n'}, lines...)
		}
		if dropped > 0 {
			lines = fmt.Appendf(lines, `{"level":"warn","event":"log","dropped":%d,"message":"lines were dropped: the queue was full, or they could not be written"}`+"\n", dropped)
		}
		q.put(lines)
		q.mu.Lock()
		q.spare = lines[:0]
		q.mu.Unlock()
	}
}

// The patience with a target that is full: a pipe whose reader lags, in a mode in
// which a write does not wait.
const (
	fullPause = 5 * time.Millisecond
	fullTries = 200
)

// atomicBytes is up to which size a pipe takes a write as a whole, by POSIX at
// least 512 and on Linux this; larger ones came out cut.
const atomicBytes = 4096

// put writes lines whole. What can't be written has nowhere to say so but the
// count of what was dropped, and a line that is cut off is ended.
func (q *AsyncWriter) put(lines []byte) {
	for try := 0; len(lines) > 0; {
		n, err := q.Output.Write(firstLines(lines))
		lines = lines[n:]
		switch {
		case err == nil:
		case errors.Is(err, syscall.EAGAIN) && try < fullTries:
			try++
			time.Sleep(fullPause)
		default:
			q.cutOff(lines)
			return
		}
	}
}

// firstLines returns as many whole lines as a pipe takes at once.
func firstLines(lines []byte) []byte {
	if len(lines) <= atomicBytes {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:atomicBytes], '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines[:atomicBytes]
}

// cutOff counts the lines that were not written whole.
func (q *AsyncWriter) cutOff(rest []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := bytes.Count(rest, []byte{'\n'})
	q.dropped += n
	q.lost += int64(n)
	q.torn = true
}

// Dropped returns how many lines were dropped since the start.
func (q *AsyncWriter) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost
}

// flushLimit bounds the wait for lines to be written at a process's end: a reader
// that takes nothing for a second holds up no stop, which has some seconds in all.
const flushLimit = time.Second

// Flush waits until everything that came is written, or the target has taken nothing
// for long.
func (q *AsyncWriter) Flush() {
	q.mu.Lock()
	idle, writing := q.idle, q.writing
	q.mu.Unlock()
	if !writing {
		return
	}
	select {
	case <-idle:
	case <-time.After(flushLimit):
	}
}
