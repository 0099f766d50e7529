// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package body

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

const limit = 256 << 10 // of a body in these tests

// read reads a body of a length, -1 for unknown.
func read(r *Reader, in io.Reader, length int64) (*Body, *httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodPost, "http://h.example/", in)
	q.ContentLength = length
	b, err := r.Read(w, q, limit)
	return b, w, err
}

// TestBodiesOfAllSizes guards against a body that is cut off, or refused although it is inside the limit, and against
// what is not given back.
func TestBodiesOfAllSizes(t *testing.T) {
	r := NewReader(1 << 20)
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, 3*firstBytes + 7, limit - 1, limit, limit + 1, 3 * limit} {
		text := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			for _, wrap := range []func(io.Reader) io.Reader{func(in io.Reader) io.Reader { return in }, iotest.DataErrReader, iotest.HalfReader} {
				b, _, err := read(r, wrap(bytes.NewReader(text)), length)
				if size > limit {
					assert.Assert(t, errkind.Is(err, errkind.TooLarge), "%d: %v", size, err)
				} else {
					assert.NilError(t, err, "%d", size)
					assert.Assert(t, bytes.Equal(b.Data, text), "%d", size)
					assert.Assert(t, r.Held() >= int64(size) && r.Held() <= int64(max(2*size, firstBytes)), "%d: %d held", size, r.Held())
				}
				b.Release()
				assert.Equal(t, r.Held(), int64(0))
			}
		}
	}
	b, _, err := read(nil, strings.NewReader("text"), -1)
	assert.NilError(t, err)
	assert.NilError(t, b.Replace(1<<40))
	b.Release()
}

// stall reads a body that sends a number of bytes and then nothing until the test ends.
func stall(t *testing.T, r *Reader, size int) {
	in, out := io.Pipe()
	t.Cleanup(func() { _ = out.CloseWithError(errors.New("the client has gone")) })
	go func() { _, _, _ = read(r, in, -1) }()
	go func() { _, _ = out.Write(make([]byte, size)) }()
}

// TestLargeBodiesLeaveRoomForSmallOnes guards against a crowd of large bodies that leaves none for ordinary callers.
// A refusal is not taken, and its connection is closed.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	r := NewReader(1 << 20)
	for range 8 {
		stall(t, r, 65<<10)
	}
	deadline := time.Now().Add(10 * time.Second)
	for r.Refused() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	b, w, err := read(r, bytes.NewReader(make([]byte, limit)), limit)
	assert.Assert(t, errkind.Is(err, errkind.Overloaded), "%v", err)
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Equal(t, errkind.Overloaded.Response().Outcome, errkind.NotRun)
	b.Release()
	assert.Assert(t, r.Held() <= r.Limit()/2, "%d held", r.Held())
	b, _, err = read(r, bytes.NewReader(make([]byte, 8<<10)), 8<<10)
	assert.NilError(t, err)
	b.Release()
}

// TestEveryEndGivesBack guards against a budget that ends, errors, clients that go and handlers that fail use up.
func TestEveryEndGivesBack(t *testing.T) {
	r := NewReader(1 << 20)
	_, _, err := read(r, io.MultiReader(bytes.NewReader(make([]byte, 100<<10)), iotest.ErrReader(errors.New("gone"))), -1)
	assert.Assert(t, errkind.Is(err, errkind.SlowRequest), "%v", err)
	assert.Equal(t, r.Held(), int64(0))
	_, _, err = read(r, iotest.TimeoutReader(bytes.NewReader(make([]byte, 100<<10))), -1)
	assert.Assert(t, errkind.Is(err, errkind.SlowRequest), "%v", err)
	assert.Equal(t, r.Held(), int64(0))
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		b, _, err := read(r, strings.NewReader("text"), -1)
		defer b.Release()
		assert.NilError(t, err)
		_ = b.Decode(t.Context(), func([]byte) error { panic("decoding") })
	}()
	assert.Equal(t, r.Held(), int64(0))
	b, _, err := read(r, strings.NewReader("text"), -1)
	assert.NilError(t, err)
	assert.NilError(t, b.Replace(1000))
	assert.Equal(t, r.Held(), int64(1000))
	assert.Assert(t, errkind.Is(b.Replace(1<<21), errkind.Overloaded))
	assert.Equal(t, r.Held(), int64(0))
	b.Release()
	assert.Equal(t, r.Held(), int64(0))
}

// TestFewAreDecodedAtATime guards against many large bodies that are decoded at once, and against a request that waits
// for its turn for ever, or a turn that is lost.
func TestFewAreDecodedAtATime(t *testing.T) {
	r := NewReader(8 << 20)
	entered, leave := make(chan struct{}), make(chan struct{})
	for range largeDecodes {
		b, _, err := read(r, bytes.NewReader(make([]byte, 100<<10)), -1)
		assert.NilError(t, err)
		go func() {
			defer b.Release()
			_ = b.Decode(context.Background(), func([]byte) error {
				entered <- struct{}{}
				<-leave
				return nil
			})
		}()
		<-entered
	}
	b, _, err := read(r, bytes.NewReader(make([]byte, 100<<10)), -1)
	assert.NilError(t, err)
	defer b.Release()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.Assert(t, errkind.Is(b.Decode(ctx, func([]byte) error { return nil }), errkind.Overloaded))
	small, _, err := read(r, strings.NewReader("text"), -1)
	assert.NilError(t, err)
	defer small.Release()
	assert.NilError(t, small.Decode(t.Context(), func([]byte) error { return nil }))
	close(leave)
	assert.NilError(t, b.Decode(t.Context(), func([]byte) error { return nil }))
}

// TestSlowLargeBodyEndsForOthers guards against a crowd that holds its part of the budget for good: the large body that
// has been arriving for the longest ends when another one is refused.
func TestSlowLargeBodyEndsForOthers(t *testing.T) {
	r := NewReader(400 << 10)
	results := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, err := r.Read(w, q, limit)
		defer b.Release()
		results <- err
		if err != nil {
			errkind.Write(w, "", err)
		}
	}))
	defer s.Close()
	in, out := io.Pipe()
	defer func() { _ = out.Close() }()
	go func() {
		a, err := http.Post(s.URL, "", in)
		if err == nil {
			_ = a.Body.Close()
		}
	}()
	_, err := out.Write(make([]byte, 100<<10))
	assert.NilError(t, err)
	time.Sleep(slowAfter + 100*time.Millisecond)
	b, _, err := read(r, bytes.NewReader(make([]byte, 200<<10)), -1)
	assert.Assert(t, errkind.Is(err, errkind.Overloaded), "%v", err)
	b.Release()
	assert.Assert(t, errkind.Is(<-results, errkind.Overloaded))
	for r.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
}
