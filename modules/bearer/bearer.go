// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bearer

import (
	"net/http"
	"strings"
)

// Scheme is the scheme of the Authorization header, which is case-insensitive (RFC 9110).
const Scheme = "Bearer"

// Secret returns the bearer token of a request, and false if the header is missing, occurs
// more than once, has another scheme or no token.
func Secret(r *http.Request) (string, bool) {
	values := r.Header["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	scheme, secret, ok := strings.Cut(values[0], " ")
	return secret, ok && secret != "" && strings.EqualFold(scheme, Scheme)
}
