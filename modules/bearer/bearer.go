// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bearer

import (
	"net/http"
	"strings"
)

// Scheme is the scheme of the Authorization header; its case does not matter (RFC 9110).
const Scheme = "Bearer"

// Secret returns what a request bears, and false where it bears nothing: the header is
// missing, stands more than once, names another scheme or no secret.
func Secret(r *http.Request) (string, bool) {
	values := r.Header["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	scheme, secret, has := strings.Cut(values[0], " ")
	return secret, has && secret != "" && strings.EqualFold(scheme, Scheme)
}
