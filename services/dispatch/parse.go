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

// Bounds of what is kept of a request in memory.
const (
	keepBody     = 64 << 10 // so that it can be sent again
	maxKeyedBody = 1 << 20
)

// parse reads what the request asks for.
func (c *call) parse(service string) error {
	catalog := c.d.State().Catalog
	c.version = catalog.Version
	c.service = catalog.Service(service)
	if c.service == nil {
		return errkind.New(errkind.NotFound, "service %q is not declared", service)
	}
	if err := c.admit(catalog); err != nil {
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
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return errkind.New(errkind.BadRequest, "%s: %q is no time span; allowed is one such as 500ms", HeaderTimeout, text)
		}
		limit = min(limit, asked)
	}
	c.deadline = c.begun.Add(limit)
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

// readBody keeps a small body, so that the request can be sent again, and all
// of a keyed one, whose fingerprint is needed.
func (c *call) readBody() error {
	if c.r.ContentLength == 0 {
		c.body = []byte{}
		return nil
	}
	if c.key == "" && (c.r.ContentLength < 0 || c.r.ContentLength > keepBody) {
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

// bodyError says why a request's body could not be read.
func bodyError(err error) error {
	var large *http.MaxBytesError
	if stderrors.As(err, &large) {
		return errkind.New(errkind.TooLarge, "the body has more than %d bytes", large.Limit)
	}
	return errkind.New(errkind.SlowRequest, "the body of the request did not come: %v", err)
}
