// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"strconv"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/log"
)

// errClosed is the error of a call on a connection that is closed.
var errClosed = stderrors.New("connection is closed")

// conn exchanges JSON-RPC 2.0 messages on a stream, each after its length. It has the messages of
// package jsonrpc2 on the wire; parameters and results are encoded and decoded once and not copied
// through maps, which would take most of the processor time of a short call.
type conn struct {
	stream io.ReadWriteCloser
	handle Handler // nil rejects all calls of the peer
	logger *log.Logger
	limits limits

	sending sync.Mutex // is held during a write

	mu           sync.Mutex
	pending      map[uint64]chan *message // calls that wait, by their number
	last         uint64                   // number of the newest call
	closed       bool
	disconnected chan struct{}
}

// message is a call, a notification (a call without an ID) or a response.
type message struct {
	ID     json.RawMessage `json:"id"`
	Method *string         `json:"method"`
	Params json.RawMessage `json:"params"`
	Result json.RawMessage `json:"result"`
	Error  *jsonrpc2.Error `json:"error"`

	held    int64 // of the memory of limits
	refused bool  // there was too little memory for it; only its ID and method are known
}

// limits bounds what a peer may hold; the zero value does not.
type limits struct {
	memory       *budget.Budget   // of its messages of more than firstBuffer bytes
	boundMessage func(begun bool) // is called when a message begins and has ended; nil for none
	refusal      error            // response to a call for which there is too little memory; nil closes the connection
}

// newConn returns a connection that reads until it is closed.
func newConn(ctx context.Context, stream io.ReadWriteCloser, handle Handler, logger *log.Logger) *conn {
	return newLimitedConn(ctx, stream, handle, logger, limits{})
}

// newLimitedConn returns a connection like newConn, whose peer is bounded.
func newLimitedConn(ctx context.Context, stream io.ReadWriteCloser, handle Handler, logger *log.Logger, l limits) *conn {
	c := &conn{stream: stream, handle: handle, logger: logger, limits: l, pending: make(map[uint64]chan *message), disconnected: make(chan struct{})}
	go c.run(ctx)
	return c
}

// run reads messages until the connection ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader := bufio.NewReader(c.stream)
	for {
		m, err := c.limits.readMessage(reader)
		if err != nil {
			_ = c.end(err)
			return
		}
		switch {
		case m.refused:
			go c.refuse(m)
		case m.Method != nil:
			go func() {
				defer c.limits.memory.Add(-m.held)
				c.serve(ctx, m)
			}()
		default:
			c.limits.memory.Add(-m.held)
			c.respond(m)
		}
	}
}

// firstBuffer is the size of the buffer for a message until its content has arrived: a length that
// is wrong must not take memory.
const firstBuffer = 4 << 10

// maxMessage is the largest message, as large as the largest response that is read from the platform: without
// a bound one connection could use up the memory of the process.
const maxMessage = 64 << 20

// readMessage reads one message.
func (l limits) readMessage(reader *bufio.Reader) (*message, error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if length > maxMessage {
		return nil, fmt.Errorf("message of %d bytes; allowed are %d", length, maxMessage)
	}
	if l.boundMessage != nil {
		l.boundMessage(true)
		defer l.boundMessage(false)
	}
	data, held, err := l.readContent(reader, int(length))
	if stderrors.Is(err, errNoMemory) && l.refusal != nil {
		l.memory.Add(-held)
		return skipMessage(reader, data, int(length))
	}
	m := &message{held: held}
	if err == nil {
		err = json.Unmarshal(data, m)
	}
	if err != nil {
		l.memory.Add(-held)
		return nil, err
	}
	return m, nil
}

// readContent reads the content of a message, and returns what it holds of the memory, also with an error. The buffer
// grows with what has arrived; while it is copied, there are two.
func (l limits) readContent(reader *bufio.Reader, length int) (data []byte, held int64, err error) {
	data = make([]byte, 0, min(length, firstBuffer))
	for len(data) < length {
		if len(data) == cap(data) {
			size := min(2*cap(data), length)
			if !l.memory.Take(int64(size), 1) {
				return data, held, errNoMemory
			}
			data = append(make([]byte, 0, size), data...)
			l.memory.Add(-held)
			held = int64(size)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, held, err
		}
	}
	return data, held, nil
}

// errNoMemory is the error for a message for which there is too little memory.
var errNoMemory = stderrors.New("too little memory for a message")

// skipMessage discards the rest of a message, so that the connection stays of use for others, and returns the call that its
// beginning names.
func skipMessage(reader *bufio.Reader, begin []byte, length int) (*message, error) {
	m := &message{refused: true}
	in := json.NewDecoder(bytes.NewReader(begin))
	if _, err := in.Token(); err != nil { // the bracket
		return nil, errNoMemory
	}
	for m.ID == nil || m.Method == nil {
		name, err := in.Token()
		if err != nil {
			return nil, errNoMemory
		}
		var value any = new(json.RawMessage)
		switch name {
		case "id":
			value = &m.ID
		case "method":
			value = &m.Method
		}
		if in.Decode(value) != nil {
			return nil, errNoMemory
		}
	}
	if _, err := io.CopyN(io.Discard, reader, int64(length-len(begin))); err != nil {
		return nil, err
	}
	return m, nil
}

// refuse responds to a call for which there is too little memory.
func (c *conn) refuse(m *message) {
	c.logger.Warn().Str("event", "connection").Str("method", *m.Method).Str("outcome", "refused").Msg("too little memory for a call of another process")
	if err := c.write(response(m.ID, nil, c.limits.refusal)); err != nil {
		c.logger.Printf("refusal of %s: %v", m.ID, err)
	}
}

// serve handles a call of the peer and sends the response.
func (c *conn) serve(ctx context.Context, m *message) {
	r := &jsonrpc2.Request{Method: *m.Method, Notif: len(m.ID) == 0}
	if m.Params != nil {
		r.Params = &m.Params
	}
	var result any
	err := error(&jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound})
	if c.handle != nil {
		result, err = c.handle(ctx, r)
	}
	if r.Notif {
		if err != nil {
			c.logger.Printf("handling of notification %q: %v", r.Method, err)
		}
		return
	}
	if err := c.write(response(m.ID, result, err)); err != nil {
		c.logger.Printf("response %s to %q: %v", m.ID, r.Method, err)
	}
}

// response encodes a response.
func response(id json.RawMessage, result any, err error) []byte {
	var data []byte
	if err == nil {
		data, err = json.Marshal(result)
	}
	name := `,"result":`
	if err != nil {
		e, ok := err.(*jsonrpc2.Error) //nolint:errorlint // handlers return it as it is
		if !ok {
			e = &jsonrpc2.Error{Message: err.Error()}
		}
		name = `,"error":`
		data, _ = json.Marshal(e) // its data is encoded already
	}
	text := make([]byte, 0, len(data)+len(id)+len(name)+32)
	text = append(append(text, `{"jsonrpc":"2.0","id":`...), id...)
	return append(append(append(text, name...), data...), '}')
}

// write writes one message.
func (c *conn) write(text []byte) error {
	frame := binary.AppendUvarint(make([]byte, 0, len(text)+binary.MaxVarintLen64), uint64(len(text)))
	frame = append(frame, text...)
	c.sending.Lock()
	defer c.sending.Unlock()
	if c.isClosed() {
		return errClosed
	}
	_, err := c.stream.Write(frame)
	if err != nil && c.isClosed() {
		return errClosed
	}
	return err
}

// respond passes a response to the call that waits for it.
func (c *conn) respond(m *message) {
	id, err := strconv.ParseUint(string(m.ID), 10, 64)
	c.mu.Lock()
	waiting := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if err != nil || waiting == nil {
		c.logger.Printf("response %q belongs to no call", m.ID)
		return
	}
	waiting <- m
}

// request encodes a call, or a notification if its id is 0.
func request(id uint64, method string, params any) ([]byte, error) {
	data, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}
	name, err := json.Marshal(method)
	if err != nil {
		return nil, err
	}
	text := make([]byte, 0, len(data)+len(name)+64)
	text = append(text, `{"jsonrpc":"2.0"`...)
	if id > 0 {
		text = strconv.AppendUint(append(text, `,"id":`...), id, 10)
	}
	text = append(append(text, `,"method":`...), name...)
	return append(append(append(text, `,"params":`...), data...), '}'), nil
}

// Call calls a method of the peer and waits for its response; what the peer refuses is returned as a
// *jsonrpc2.Error. The context is looked at once the call is written.
func (c *conn) Call(ctx context.Context, method string, params, result any) error {
	waiting := make(chan *message, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return errClosed
	}
	c.last++
	id := c.last
	c.pending[id] = waiting
	c.mu.Unlock()
	text, err := request(id, method, params)
	if err == nil {
		err = c.write(text)
	}
	if err != nil {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case m, ok := <-waiting:
		switch {
		case !ok:
			return errClosed
		case m.Error != nil:
			return m.Error
		case result == nil || len(m.Result) == 0:
			return nil
		}
		return json.Unmarshal(m.Result, result)
	}
}

// Notify sends a notification.
func (c *conn) Notify(_ context.Context, method string, params any) error {
	text, err := request(0, method, params)
	if err != nil {
		return err
	}
	return c.write(text)
}

// DisconnectNotify returns a channel that is closed once the connection is.
func (c *conn) DisconnectNotify() <-chan struct{} { return c.disconnected }

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close closes the connection; the calls that wait fail.
func (c *conn) Close() error { return c.end(nil) }

// end closes the connection and logs the cause, unless it ended as connections do.
func (c *conn) end(cause error) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return errClosed
	}
	c.closed = true
	for id, waiting := range c.pending {
		close(waiting)
		delete(c.pending, id)
	}
	close(c.disconnected)
	c.mu.Unlock()
	err := c.stream.Close()
	if cause != nil && !stderrors.Is(cause, io.EOF) && !stderrors.Is(cause, io.ErrUnexpectedEOF) {
		c.logger.Printf("protocol error: %v", cause)
	}
	return err
}
