// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Incarnation identifies one start of a worker: a worker may restart under the same id, and then
// has lost its previous state.
type Incarnation struct {
	ID        ID
	StartedAt int64 // as in Worker, 0 if it is not known
}

// incarnationSeparator separates a worker's id and its start time.
const incarnationSeparator = "/"

// String returns the id, and the start time if it is known.
func (l Incarnation) String() string {
	if l.StartedAt == 0 {
		return string(l.ID)
	}
	return string(l.ID) + incarnationSeparator + strconv.FormatInt(l.StartedAt, 10)
}

// MarshalText returns the same as String.
func (l Incarnation) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText parses the output of String.
func (l *Incarnation) UnmarshalText(text []byte) error {
	id, startedAt, has := strings.Cut(string(text), incarnationSeparator)
	*l = Incarnation{ID: ID(id)}
	if !has {
		return nil
	}
	n, err := strconv.ParseInt(startedAt, 10, 64)
	l.StartedAt = n
	return errors.Annotatef(err, "invalid start time of a worker in %.60q", text)
}
