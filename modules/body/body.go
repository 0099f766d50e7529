// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package body

import (
	"container/list"
	"context"
	stderrors "errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

const (
	// firstBytes is the size of a buffer before more of the body has arrived.
	firstBytes = 4 << 10
	// smallBytes is what a request may hold without being a large one.
	smallBytes = 24 << 10
	// largeShare is the part of the budget that large requests may fill, so that they leave room for all others.
	largeShare = 0.5
	// slowAfter is how long a body may take to arrive while others are refused for want of budget.
	slowAfter = time.Second
	// largeDecodes and smallDecodes are how many bodies are decoded at a time: that takes processor time only, and up
	// to some hundred times the memory of a small body.
	largeDecodes = 2
	smallDecodes = 16
)

// Reader reads request bodies; nil reads them without a budget. It is safe for concurrent use.
type Reader struct {
	budget  *budget.Budget
	decode  [2]chan struct{} // have an element for each small and each large body that is being decoded
	refused atomic.Int64

	mu       sync.Mutex
	arriving list.List // of the *Body that still arrive, the one that began first in front
}

// NewReader returns a reader whose requests hold a number of bytes at most, 0 for no limit.
func NewReader(limit int64) *Reader {
	return &Reader{budget: budget.New(limit), decode: [2]chan struct{}{make(chan struct{}, smallDecodes), make(chan struct{}, largeDecodes)}}
}

// Budget returns the budget, of which others may take parts.
func (r *Reader) Budget() *budget.Budget { return r.budget }

// Held returns how many bytes the requests hold.
func (r *Reader) Held() int64 { return r.budget.Used() }

// Limit returns how many bytes the requests may hold, 0 for no limit.
func (r *Reader) Limit() int64 { return r.budget.Limit() }

// Refused returns how many requests were refused for want of budget.
func (r *Reader) Refused() int64 { return r.refused.Load() }

// Body is the body of one request and what the request holds of the budget until Release.
type Body struct {
	Data []byte

	reader  *Reader
	control *http.ResponseController
	header  http.Header // of the response
	held    int64
	began   time.Time
	element *list.Element // in Reader.arriving, nil for none; Reader.mu guards it
	ended   bool          // its reading was ended for want of budget; Reader.mu guards it
}

// Read reads the body of a request up to a size limit. It returns a Body also with an error; the caller releases it when
// the request ends.
func (r *Reader) Read(w http.ResponseWriter, q *http.Request, limit int64) (*Body, error) {
	b := &Body{reader: r, control: http.NewResponseController(w), header: w.Header()}
	in := http.MaxBytesReader(nil, q.Body, limit)
	var err error
	if q.ContentLength > limit {
		_, err = io.Copy(io.Discard, in)
	} else {
		err = b.read(in, q.ContentLength, limit)
	}
	if b.stopReading() {
		err = b.refused()
	}
	if err == nil {
		return b, nil
	}
	b.Release()
	var large *http.MaxBytesError
	switch {
	case stderrors.As(err, &large):
		return b, errkind.New(errkind.TooLarge, "request body exceeds the limit of %d bytes", limit)
	case errkind.Is(err, errkind.Overloaded):
		return b, err
	}
	b.header.Set("Connection", "close")
	return b, errkind.New(errkind.SlowRequest, "reading the request body failed: %v", err)
}

// read reads the body to its end. The length is -1 if it is unknown.
func (b *Body) read(in io.Reader, length, limit int64) error {
	most := limit
	if length >= 0 {
		most = length
	}
	for {
		if len(b.Data) == cap(b.Data) && int64(cap(b.Data)) < most {
			if err := b.grow(min(max(2*int64(cap(b.Data)), firstBytes), most)); err != nil {
				return err
			}
		}
		free := b.Data[len(b.Data):cap(b.Data)]
		if len(free) == 0 {
			free = make([]byte, 1) // the body has ended, or is too large
		}
		n, err := in.Read(free)
		if n > 0 {
			b.Data = b.Data[:len(b.Data)+n]
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow replaces the buffer with a larger one. Both are counted while there are both.
func (b *Body) grow(size int64) error {
	if !b.take(size) {
		b.reader.endSlowest()
		return b.refused()
	}
	old := int64(cap(b.Data))
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	b.give(old)
	b.list()
	return nil
}

// take takes bytes of the budget for the request, and reports whether there are enough.
func (b *Body) take(n int64) bool {
	if b.reader == nil {
		return true
	}
	share := 1.0
	if b.held+n > smallBytes {
		share = largeShare
	}
	if !b.reader.budget.Take(n, share) {
		return false
	}
	b.held += n
	return true
}

// give gives bytes back.
func (b *Body) give(n int64) {
	if b.reader != nil {
		b.reader.budget.Add(-n)
		b.held -= n
	}
}

// refused returns the error of a request that is refused for want of budget, after which its connection is closed.
func (b *Body) refused() error {
	b.reader.refused.Add(1)
	b.header.Set("Connection", "close")
	return errkind.New(errkind.Overloaded, "too little memory for the request now: all together may take %d bytes", b.reader.Limit())
}

// list lists the request among those that may be ended for others.
func (b *Body) list() {
	if b.reader == nil || !b.began.IsZero() {
		return
	}
	b.began = time.Now()
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	b.element = b.reader.arriving.PushBack(b)
}

// stopReading ends the reading of the body, and reports whether another request has ended it.
func (b *Body) stopReading() bool {
	if b.reader == nil || b.began.IsZero() {
		return false
	}
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	if b.element != nil {
		b.reader.arriving.Remove(b.element)
		b.element = nil
	}
	return b.ended
}

// endSlowest ends the reading of the body that has been arriving for the longest, if that is too long.
func (r *Reader) endSlowest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.arriving.Front()
	if first == nil {
		return
	}
	b := first.Value.(*Body)
	if time.Since(b.began) < slowAfter {
		return
	}
	r.arriving.Remove(first)
	b.element, b.ended = nil, true
	// Only connections in tests have no deadlines.
	_ = b.control.SetReadDeadline(time.Now())
}

// Decode calls a function that decodes the body; few are decoded at a time.
func (b *Body) Decode(ctx context.Context, do func(data []byte) error) error {
	if b.reader == nil {
		return do(b.Data)
	}
	gate := b.reader.decode[0]
	if len(b.Data) > smallBytes {
		gate = b.reader.decode[1]
	}
	select {
	case gate <- struct{}{}:
		defer func() { <-gate }()
		return do(b.Data)
	case <-ctx.Done():
		return b.refused()
	}
}

// Replace gives the body back and holds a number of bytes for what was decoded from it.
func (b *Body) Replace(n int64) error {
	b.Data = nil
	b.give(b.held)
	if !b.take(n) {
		b.reader.endSlowest()
		return b.refused()
	}
	return nil
}

// Release gives back what the request holds.
func (b *Body) Release() {
	b.Data = nil
	b.give(b.held)
}
