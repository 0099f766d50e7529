// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	stderrors "errors"
	"io"
	"net/http"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Limits of the request bodies kept in memory.
const (
	maxRetriedBody = 64 << 10 // kept to be sent again
	maxKeyedBody   = 1 << 20
)

// parse reads the service, the key, the times and the body of the request.
func (c *call) parse(service string) error {
	catalog := c.d.State().Catalog
	c.version = catalog.Version
	c.service = catalog.Service(service)
	if c.service == nil {
		return errkind.New(errkind.NotFound, "service %q is not declared", service)
	}
	if err := c.checkCustomerKey(catalog); err != nil {
		return err
	}
	if err := c.parseTimes(); err != nil {
		return err
	}
	c.key = c.r.Header.Get(HeaderIdempotencyKey)
	if c.r.ContentLength > c.d.MaxBody {
		return errkind.New(errkind.TooLarge, "the body has %d bytes, allowed are %d", c.r.ContentLength, c.d.MaxBody)
	}
	c.r.Body = http.MaxBytesReader(c.w, c.r.Body, c.d.MaxBody)
	return c.readBody()
}

func (c *call) parseTimes() error {
	limit := c.service.Deadline.Std()
	if text := c.r.Header.Get(HeaderTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return errkind.New(errkind.BadRequest, "%s: %q is not a duration; an example is 500ms", HeaderTimeout, text)
		}
		limit = min(limit, requested)
	}
	c.deadline = c.startedAt.Add(limit)
	c.class = c.service.Class
	switch class := manifest.Class(c.r.Header.Get(HeaderClass)); class {
	case "":
	case manifest.Interactive, manifest.Batch:
		c.class = class
	default:
		return errkind.New(errkind.BadRequest, "%s: %q is not allowed; allowed are %s, %s", HeaderClass, class, manifest.Interactive, manifest.Batch)
	}
	return nil
}

// readBody reads a small body, so that the request can be retried, and the complete body of a keyed
// request, which is needed for its fingerprint.
func (c *call) readBody() error {
	if c.r.ContentLength == 0 {
		c.body = []byte{}
		return nil
	}
	if c.key == "" && (c.r.ContentLength < 0 || c.r.ContentLength > maxRetriedBody) {
		return nil
	}
	if c.r.ContentLength > maxKeyedBody {
		return errkind.New(errkind.TooLarge, "the body of a keyed request has %d bytes, allowed are %d", c.r.ContentLength, maxKeyedBody)
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, maxKeyedBody+1))
	if err != nil {
		return bodyError(err)
	}
	if len(body) > maxKeyedBody {
		return errkind.New(errkind.TooLarge, "the body of a keyed request has more than %d bytes", maxKeyedBody)
	}
	c.body = body
	return nil
}

// bodyError returns the error for a request body that could not be read.
func bodyError(err error) error {
	var large *http.MaxBytesError
	if stderrors.As(err, &large) {
		return errkind.New(errkind.TooLarge, "the body has more than %d bytes", large.Limit)
	}
	return errkind.New(errkind.SlowRequest, "the body of the request was not received: %v", err)
}
