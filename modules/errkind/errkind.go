// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package errkind

import (
	stderrors "errors"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Kind is an error kind.
type Kind uint8

// The closed list of error kinds.
const (
	Internal Kind = iota
	BadRequest
	Unauthorized
	Forbidden
	NotFound
	Conflict
	TooLarge
	KeyExpired
	KeyInProgress
	AlreadyRun
	Overloaded
	NoTarget
	DeadlinePassed
	LogUnavailable
	Stopping
	OutcomeUnknown
	BadResponse
	Infeasible
	TooManyConnections
	SlowRequest
	Fenced
	Gone
	BadMethod
	QueueMoving
	kindCount
)

// Outcome states whether the request of a response was executed.
type Outcome string

// Outcomes that a response can state.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
)

// Response is the HTTP response for one kind.
type Response struct {
	Name       string
	Status     int
	Outcome    Outcome
	RetryAfter time.Duration // default time until a retry, 0 for none
}

var responses = [kindCount]Response{
	Internal:           {"internal", http.StatusInternalServerError, Unknown, 0},
	BadRequest:         {"bad-request", http.StatusBadRequest, NotRun, 0},
	Unauthorized:       {"unauthorized", http.StatusUnauthorized, NotRun, 0},
	Forbidden:          {"forbidden", http.StatusForbidden, NotRun, 0},
	NotFound:           {"not-found", http.StatusNotFound, NotRun, 0},
	Conflict:           {"conflict", http.StatusConflict, NotRun, 0},
	TooLarge:           {"too-large", http.StatusRequestEntityTooLarge, NotRun, 0},
	KeyExpired:         {"key-expired", http.StatusGone, NotRun, 0},
	KeyInProgress:      {"key-in-progress", http.StatusConflict, Unknown, time.Second},
	AlreadyRun:         {"already-run", http.StatusConflict, Ran, 0},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, NotRun, time.Second},
	NoTarget:           {"no-target", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	DeadlinePassed:     {"deadline-passed", http.StatusServiceUnavailable, NotRun, time.Second},
	LogUnavailable:     {"log-unavailable", http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	Stopping:           {"stopping", http.StatusServiceUnavailable, NotRun, time.Second},
	OutcomeUnknown:     {"outcome-unknown", http.StatusGatewayTimeout, Unknown, 0},
	BadResponse:        {"bad-answer", http.StatusBadGateway, Unknown, 0},
	Infeasible:         {"infeasible", http.StatusUnprocessableEntity, NotRun, 0},
	TooManyConnections: {"too-many-connections", http.StatusServiceUnavailable, NotRun, time.Second},
	SlowRequest:        {"slow-request", http.StatusRequestTimeout, NotRun, 0},
	Fenced:             {"fenced", http.StatusServiceUnavailable, NotRun, time.Second},
	Gone:               {"gone", http.StatusGone, NotRun, 0},
	BadMethod:          {"bad-method", http.StatusMethodNotAllowed, NotRun, 0},
	QueueMoving:        {"queue-moving", http.StatusGatewayTimeout, Unknown, time.Second},
}

// Kinds returns every kind of the closed list in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the HTTP response for the kind.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the name that the kind has in responses.
func (k Kind) String() string { return k.Response().Name }

// Parse returns the kind with the given name, and false if there is none.
func Parse(name string) (Kind, bool) {
	for k := range kindCount {
		if responses[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// Error is an error with a kind, a message and the time until a retry.
type Error struct {
	Kind       Kind
	Message    string
	RetryAfter time.Duration // 0 selects the default of the kind, unless it is exact
	Exact      bool          // RetryAfter is for this caller alone: it is stated as it is, and not at all if 0
}

// Error returns the kind's name and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// New returns an error of the kind with a formatted message.
func New(k Kind, format string, args ...any) error {
	return errors.Trace(&Error{Kind: k, Message: fmt.Sprintf(format, args...)})
}

// NewRetry returns an error of the kind that states the time until a retry.
func NewRetry(k Kind, after time.Duration, format string, args ...any) error {
	return errors.Trace(&Error{Kind: k, Message: fmt.Sprintf(format, args...), RetryAfter: after})
}

// NewExact returns an error of the kind that states the time until a retry as it is, in whole seconds, or
// states none if it is 0. Other times are stated with a random part, so that callers do not retry together.
func NewExact(k Kind, after time.Duration, format string, args ...any) error {
	return errors.Trace(&Error{Kind: k, Message: fmt.Sprintf(format, args...), RetryAfter: after, Exact: true})
}

// Of returns the *Error in err's chain, an Internal one if there is none, and nil for nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// Is reports whether err is of the kind.
func Is(err error, k Kind) bool {
	return err != nil && Of(err).Kind == k
}

// IsErrConflict reports whether err is a conflict with a newer version.
func IsErrConflict(err error) bool { return Is(err, Conflict) }

// IsErrLogUnavailable reports whether err means that the log cannot be reached.
func IsErrLogUnavailable(err error) bool { return Is(err, LogUnavailable) }

// RetryDelay returns the time until a retry, 0 for none.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 || e.Exact {
		return e.RetryAfter
	}
	return e.Kind.Response().RetryAfter
}
