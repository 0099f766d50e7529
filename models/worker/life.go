// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Incarnation names one start of a worker: it may start again under its id, and then knows nothing
// of before.
type Incarnation struct {
	ID        ID
	StartedAt int64 // as in Worker, 0 where it is not known
}

// lifeSeparator stands between a worker's id and its start.
const lifeSeparator = "/"

// String returns the id, and the start where that is known.
func (l Incarnation) String() string {
	if l.StartedAt == 0 {
		return string(l.ID)
	}
	return string(l.ID) + lifeSeparator + strconv.FormatInt(l.StartedAt, 10)
}

// MarshalText returns the same as String.
func (l Incarnation) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads what String returns.
func (l *Incarnation) UnmarshalText(text []byte) error {
	id, born, has := strings.Cut(string(text), lifeSeparator)
	*l = Incarnation{ID: ID(id)}
	if !has {
		return nil
	}
	n, err := strconv.ParseInt(born, 10, 64)
	l.StartedAt = n
	return errors.Annotatef(err, "a worker's start in %.60q", text)
}
