// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package noderpc

import (
	"context"
	"encoding/json"
	"slices"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// TestCallsAreCountedWithTheirBytes guards against an owner whose traffic can't be told apart by cause, and
// against results that differ from what the method returned.
func TestCallsAreCountedWithTheirBytes(t *testing.T) {
	type call struct {
		method         string
		received, sent int
	}
	var calls []call
	s := &Server{
		Methods: map[string]HandlerFunc{
			"double": Handle(func(_ context.Context, n []int) (any, error) { return append(n, n...), nil }),
			"refuse": Handle(func(context.Context, []int) (any, error) { return nil, errkind.New(errkind.Fenced, "no") }),
		},
		OnCall: func(method string, received, sent int) { calls = append(calls, call{method, received, sent}) },
	}
	params := json.RawMessage(`[1,2]`)
	result, err := s.handle(t.Context(), &jsonrpc2.Request{Method: "double", Params: &params})
	assert.NilError(t, err)
	encoded, err := json.Marshal(result)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), "[1,2,1,2]")
	_, err = s.handle(t.Context(), &jsonrpc2.Request{Method: "refuse", Params: &params})
	assert.ErrorContains(t, err, "no")
	_, err = s.handle(t.Context(), &jsonrpc2.Request{Method: "unknown", Params: &params})
	assert.ErrorContains(t, err, "unknown")
	assert.Assert(t, slices.Equal(calls, []call{{"double", 5, 9}, {"refuse", 5, 0}}), "%v", calls)
}
