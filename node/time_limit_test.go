// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/adapters/noderpc"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/admission/returns"
	"github.com/yardbridge/yardbridge/services/directory"
)

// TestTimeLimitIsPassedToTheOwner guards against callers that are told to come back after their time limit
// because another node than the owner took their call.
func TestTimeLimitIsPassedToTheOwner(t *testing.T) {
	var got time.Duration
	server := &noderpc.Server{Logger: log.Nop(), Methods: map[string]noderpc.HandlerFunc{
		methodSubmit: noderpc.Handle(func(_ context.Context, a poolRequest) (any, error) { got = a.Remaining; return empty{}, nil }),
	}}
	address, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go server.Run(t.Context())
	n := &Node{client: &noderpc.Client{Logger: log.Nop()}}
	defer n.client.Close()
	submit := n.remote(directory.Node{Address: address}, "p").Submit
	assert.NilError(t, submit(t.Context(), job.Submission{ID: "1"}))
	assert.Equal(t, got, time.Duration(0))
	assert.NilError(t, submit(returns.WithTimeLimit(t.Context(), time.Now().Add(time.Minute)), job.Submission{ID: "1"}))
	assert.Assert(t, got > 30*time.Second && got <= time.Minute, "%s", got)
}
