// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package errkind

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/yardbridge/yardbridge/modules/bearer"
)

// HeaderOutcome is the response header that states the outcome.
const HeaderOutcome = "Yardbridge-Outcome"

// HeaderKind is the response header that names the error kind.
const HeaderKind = "Yardbridge-Error"

// Write writes the HTTP response for err's kind.
func Write(w http.ResponseWriter, requestID string, err error) {
	e := Of(err)
	row := e.Kind.Response()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderKind, row.Name)
	header.Set(HeaderOutcome, string(row.Outcome))
	if e.Kind == Unauthorized {
		header.Set("WWW-Authenticate", bearer.Scheme)
	}
	if after := e.RetryDelay(); after > 0 {
		header.Set("Retry-After", strconv.Itoa(e.retrySeconds(after)))
	}
	w.WriteHeader(row.Status)
	body := struct {
		Error     string  `json:"error"`
		Message   string  `json:"message"`
		Outcome   Outcome `json:"outcome"`
		RequestID string  `json:"request_id,omitempty"`
	}{row.Name, e.Message, row.Outcome, requestID}
	// The status is already sent, so a write error cannot be reported.
	_ = json.NewEncoder(w).Encode(body)
}

// retrySeconds returns the whole seconds for the Retry-After header, which has no
// fractions: up to twice the time, at random, so that callers that were refused together do
// not retry together. An exact time is of one caller alone.
func (e *Error) retrySeconds(d time.Duration) int {
	seconds := int((d + time.Second - 1) / time.Second)
	if e.Exact {
		return seconds
	}
	return seconds + rand.IntN(seconds+1)
}
