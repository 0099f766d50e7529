// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"fmt"
	"io"
	"sync"
)

// queueBytes bounds the lines that wait to be written: some seconds of a busy
// node's.
const queueBytes = 1 << 20

// Queue takes lines without ever waiting for where they go: one that finds the
// queue full is dropped and counted. Its zero value with a target works.
type Queue struct {
	Target io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int   // since the last line that told of them
	lost    int64 // in all
	writing bool
	idle    *sync.Cond
}

// Write takes a line.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(line) > queueBytes {
		q.dropped++
		q.lost++
		return len(line), nil
	}
	q.waiting = append(q.waiting, line...)
	if !q.writing {
		q.writing = true
		go q.run()
	}
	return len(line), nil
}

// run writes what waits until nothing does.
func (q *Queue) run() {
	for {
		q.mu.Lock()
		lines, dropped := q.waiting, q.dropped
		if len(lines) == 0 && dropped == 0 {
			q.writing = false
			if q.idle != nil {
				q.idle.Broadcast()
			}
			q.mu.Unlock()
			return
		}
		q.waiting, q.spare, q.dropped = q.spare[:0], nil, 0
		q.mu.Unlock()
		if dropped > 0 {
			lines = fmt.Appendf(lines, `{"level":"warn","event":"log","dropped":%d,"message":"lines were dropped since the queue was full"}`+"\n", dropped)
		}
		// A log that can't be written has nowhere to say so.
		_, _ = q.Target.Write(lines)
		q.mu.Lock()
		q.spare = lines[:0]
		q.mu.Unlock()
	}
}

// Dropped returns how many lines were dropped since the start.
func (q *Queue) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost
}

// Flush waits until everything that came is written.
func (q *Queue) Flush() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.idle == nil {
		q.idle = sync.NewCond(&q.mu)
	}
	for q.writing {
		q.idle.Wait()
	}
}
