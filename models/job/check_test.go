// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/codec"
)

// TestSubmissionFitsInARecord guards against LOST: a job whose description is larger than a record of the store may
// be is accepted, and nothing of its pool is persisted any more. All other jobs of the allowed sizes are accepted.
func TestSubmissionFitsInARecord(t *testing.T) {
	const storeRecordBytes = 262144
	steps := func(count, references int) Submission {
		s := Submission{ID: "0123456789abcdef"}
		for i := range count {
			o := Step{Count: 1, Estimate: 1 << 40, Size: Size{CPU: 1 << 20, MemoryMB: 1 << 20, Accelerators: 1 << 10}, LatencyObjective: time.Hour, MaxPerWorker: 1 << 10}
			for a := range min(i, references) {
				o.DependsOn = append(o.DependsOn, i-1-a)
			}
			s.Steps = append(s.Steps, o)
		}
		return s
	}
	for _, c := range []struct{ steps, references int }{{1, 0}, {200, 199}, {1000, 0}, {1000, 10}, {1000, 100}, {1000, 999}} {
		t.Run(fmt.Sprint(c.steps, " steps after ", c.references), func(t *testing.T) {
			s := steps(c.steps, c.references)
			data, err := codec.Marshal(s)
			assert.NilError(t, err)
			assert.Assert(t, len(data) <= s.encodedSize()+100, "%d bytes, estimated as %d", len(data), s.encodedSize())
			if refused := s.Check() != nil; refused {
				assert.ErrorContains(t, s.Check(), "at most 200000 are allowed")
				assert.Assert(t, len(data) > storeRecordBytes/3, "refused with %d bytes", len(data))
			} else {
				assert.Assert(t, len(data) < storeRecordBytes)
			}
		})
	}
}
