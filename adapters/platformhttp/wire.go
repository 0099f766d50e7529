// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformhttp

import (
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/services/platform"
)

// HeaderClient is the header with the name of the calling process.
const HeaderClient = "X-Client"

// Page is the wire form of a page of the log.
type Page struct {
	First   uint64   `cbor:"1,keyasint"`
	Next    uint64   `cbor:"2,keyasint"`
	Records []Stored `cbor:"3,keyasint"`
}

// Stored is the wire form of one record of the log.
type Stored struct {
	Offset uint64 `cbor:"1,keyasint"`
	AtNano int64  `cbor:"2,keyasint"`
	Data   []byte `cbor:"3,keyasint"`
}

// NewPage returns the wire form of a page.
func NewPage(p platform.Page) Page {
	w := Page{First: p.First, Next: p.Next}
	for _, r := range p.Records {
		w.Records = append(w.Records, Stored{Offset: r.Offset, AtNano: r.At.UnixNano(), Data: r.Data})
	}
	return w
}

// ToPlatform returns the page as a platform.Page.
func (p Page) ToPlatform() platform.Page {
	c := platform.Page{First: p.First, Next: p.Next}
	for _, r := range p.Records {
		c.Records = append(c.Records, record.Stored{Offset: r.Offset, At: time.Unix(0, r.AtNano).UTC(), Data: r.Data})
	}
	return c
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// RenewRequest is the body of a request to renew the leases of tasks.
type RenewRequest struct {
	IDs      []string      `json:"ids"`
	LeaseTTL time.Duration `json:"life"` // nanoseconds
}

// StopRequest is the body of a request to stop a task.
type StopRequest struct {
	ID         string `json:"id"`
	Checkpoint bool   `json:"checkpoint"`
}

// ThrottleRequest is the body of a request to throttle a task.
type ThrottleRequest struct {
	ID    string `json:"id"`
	Cores int    `json:"cores"`
}
