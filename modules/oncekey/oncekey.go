// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package oncekey

import (
	"crypto/rand"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// MaxLifetime is how far in the future a key may expire.
const MaxLifetime = 24 * time.Hour

// Format describes the format of keys in messages.
const Format = "<unix seconds at which it expires>.<8 to 64 letters, digits, - or _>"

var pattern = regexp.MustCompile(`^([0-9]{9,11})\.([A-Za-z0-9_-]{8,64})$`)

// New returns a new random key that expires at the given time.
func New(expiry time.Time) string {
	return fmt.Sprintf("%d.%s", expiry.Unix(), rand.Text())
}

// Expiry returns the time at which the key expires, or a BadRequest error.
func Expiry(key string) (time.Time, error) {
	m := pattern.FindStringSubmatch(key)
	if m == nil {
		return time.Time{}, errkind.New(errkind.BadRequest, "key %.80q is malformed; allowed is %s", key, Format)
	}
	seconds, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return time.Time{}, errkind.New(errkind.BadRequest, "key %.80q has an invalid expiry", key)
	}
	return time.Unix(seconds, 0), nil
}

// Check returns nil for a key that is valid at now, a KeyExpired error for an expired one,
// and a BadRequest error for any other.
func Check(key string, now time.Time) error {
	expiry, err := Expiry(key)
	if err != nil {
		return err
	}
	if !expiry.After(now) {
		return errkind.New(errkind.KeyExpired, "key expired at %s", expiry.UTC().Format(time.RFC3339))
	}
	if expiry.After(now.Add(MaxLifetime)) {
		return errkind.New(errkind.BadRequest, "key expires more than %s from now", MaxLifetime)
	}
	return nil
}
