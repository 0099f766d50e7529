// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package errkind

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// TestDocsListEveryKind compares the table of docs/API.md with the code.
func TestDocsListEveryKind(t *testing.T) {
	data, err := os.ReadFile("../../docs/API.md")
	assert.NilError(t, err)
	for _, k := range Kinds() {
		a := k.Response()
		row := fmt.Sprintf("| %s | %d | %s |", a.Name, a.Status, a.Outcome)
		assert.Assert(t, strings.Contains(string(data), row), "docs/API.md lacks %q", row)
		parsed, ok := Parse(a.Name)
		assert.Assert(t, ok)
		assert.Equal(t, parsed, k)
	}
}

func TestWrite(t *testing.T) {
	var w *httptest.ResponseRecorder
	seen := make(map[string]int)
	for range 1000 {
		w = httptest.NewRecorder()
		Write(w, "r1", errors.Annotate(NewRetry(Overloaded, 1500*time.Millisecond, "full"), "somewhere"))
		seen[w.Header().Get("Retry-After")]++
	}
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, len(seen), 3, "callers must not retry together: %v", seen)
	for _, s := range []string{"2", "3", "4"} {
		assert.Assert(t, seen[s] > 0, "Retry-After is never %s s", s)
	}
	assert.Equal(t, w.Header().Get(HeaderOutcome), string(NotRun))
	assert.Equal(t, strings.TrimSpace(w.Body.String()), `{"error":"overloaded","message":"full","outcome":"not-run","request_id":"r1"}`)
}

// TestExactTimeIsStatedAsItIs guards against callers that come at another second than the one kept for
// them, and against a time to come back for those that have none.
func TestExactTimeIsStatedAsItIs(t *testing.T) {
	for range 100 {
		w := httptest.NewRecorder()
		Write(w, "r1", errors.Annotate(NewExact(Overloaded, 7*time.Second, "full"), "somewhere"))
		assert.Equal(t, w.Header().Get("Retry-After"), "7")
	}
	w := httptest.NewRecorder()
	Write(w, "r1", NewExact(DeadlinePassed, 0, "too late"))
	assert.Equal(t, len(w.Header().Values("Retry-After")), 0)
	assert.Equal(t, w.Header().Get(HeaderOutcome), string(NotRun))
}

func TestOtherErrorsAreInternal(t *testing.T) {
	assert.Equal(t, Of(errors.New("x")).Kind, Internal)
	assert.Assert(t, Of(nil) == nil)
	assert.Assert(t, !Is(nil, Internal))
}
