// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/budget"
)

// TestLongMessagesTakeMemory guards against peers that each send a part of a long message and wait: what has arrived
// counts, whatever length is stated, and is given back with every end.
func TestLongMessagesTakeMemory(t *testing.T) {
	memory := budget.New(1 << 20)
	bounded := 0
	l := limits{memory, func(begun bool) {
		if begun {
			bounded++
		} else {
			bounded--
		}
	}}
	read := func(length int, content io.Reader) (*message, error) {
		return l.readMessage(bufio.NewReader(io.MultiReader(bytes.NewReader(binary.AppendUvarint(nil, uint64(length))), content)))
	}
	text := func(size int) string {
		return fmt.Sprintf(`{"method":"m","params":"%s"}`, strings.Repeat("x", size-len(`{"method":"m","params":""}`)))
	}
	for _, size := range []int{30, firstBuffer, firstBuffer + 1, 5 * firstBuffer, 300 << 10} {
		m, err := read(size, strings.NewReader(text(size)))
		assert.NilError(t, err)
		assert.Equal(t, *m.Method, "m")
		assert.Equal(t, memory.Used(), m.held)
		assert.Assert(t, size <= firstBuffer || m.held >= int64(size))
		memory.Add(-m.held)
	}
	for _, c := range []struct {
		length  int
		content string
		err     string
	}{
		{2 << 20, text(2 << 20), "too little memory for a message of 2097152 bytes"},
		{300 << 10, text(100 << 10), "unexpected EOF"},
		{100 << 10, strings.Repeat("x", 100<<10), "invalid character"},
	} {
		_, err := read(c.length, strings.NewReader(c.content))
		assert.ErrorContains(t, err, c.err)
		assert.Equal(t, memory.Used(), int64(0))
	}
	assert.Equal(t, bounded, 0)
}
