// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// fullPipe accepts some bytes and is full at every second write.
type fullPipe struct {
	mu   sync.Mutex
	got  bytes.Buffer
	full bool
	fail error // returned instead of being full, once
}

// Write accepts at most ten bytes.
func (p *fullPipe) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.full = !p.full; p.full {
		n := min(len(data), 10)
		p.got.Write(data[:n])
		if n == len(data) {
			return n, nil
		}
		if err := p.fail; err != nil {
			p.fail = nil
			return n, err
		}
		return n, syscall.EAGAIN
	}
	return 0, syscall.EAGAIN
}

func TestLinesStayCompleteOnFullPipe(t *testing.T) {
	p := &fullPipe{}
	q := &AsyncWriter{Output: p}
	var want strings.Builder
	for _, line := range []string{"a first line that is long\n", "a second line\n", "a third line that is long too\n"} {
		want.WriteString(line)
		_, err := q.Write([]byte(line))
		assert.NilError(t, err)
	}
	q.Flush()
	assert.Equal(t, p.got.String(), want.String())
	assert.Equal(t, q.Dropped(), int64(0))
}

func TestTruncatedLineIsTerminated(t *testing.T) {
	p := &fullPipe{fail: errors.New("no more")}
	q := &AsyncWriter{Output: p}
	_, err := q.Write([]byte("a first line that is long\n"))
	assert.NilError(t, err)
	q.Flush()
	_, err = q.Write([]byte("second\n"))
	assert.NilError(t, err)
	q.Flush()
	assert.Assert(t, strings.HasPrefix(p.got.String(), "a first li\nsecond\n{"), p.got.String())
	assert.Assert(t, strings.Contains(p.got.String(), `"dropped":1`), p.got.String())
	assert.Equal(t, q.Dropped(), int64(1))
}

// failingWriter fails every write.
type failingWriter struct{ tries int }

// Write always fails.
func (b *failingWriter) Write([]byte) (int, error) {
	b.tries++
	return 0, errors.New("closed")
}

func TestFailingOutputIsTriedOncePerLine(t *testing.T) {
	b := &failingWriter{}
	q := &AsyncWriter{Output: b}
	for range 3 {
		_, err := q.Write([]byte("a line\n"))
		assert.NilError(t, err)
		q.Flush()
	}
	assert.Equal(t, b.tries, 3)
	assert.Assert(t, q.Dropped() >= 3)
}

func TestWritesAreCompleteLines(t *testing.T) {
	line := strings.Repeat("x", 99) + "\n"
	lines := []byte(strings.Repeat(line, 100))
	for len(lines) > 0 {
		first := firstLines(lines)
		assert.Assert(t, len(first) <= atomicBytes && len(first)%len(line) == 0, "%d bytes", len(first))
		lines = lines[len(first):]
	}
	assert.Equal(t, len(firstLines(bytes.Repeat([]byte("x"), 2*atomicBytes))), atomicBytes)
}
