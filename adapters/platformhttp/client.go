// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/services/platform"
)

// maxResponseBytes is the largest part of one response of the platform that is read.
const maxResponseBytes = 64 << 20

// Client calls the platform at a base URL.
type Client struct {
	Base string // such as http://127.0.0.1:7700
	Name string // of this process
	HTTP http.Client
}

// New returns a client whose transferred bytes are counted in the set, which may be nil.
func New(base, name string, m *metrics.Set) *Client {
	var dialer net.Dialer
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return m.CountPlatform(c), nil
		},
	}
	return &Client{Base: base, Name: name, HTTP: http.Client{Transport: transport}}
}

// Log returns the log port.
func (c *Client) Log() platform.Log {
	return platform.Log{Append: c.append, Read: c.read}
}

// Fleet returns the fleet port.
func (c *Client) Fleet() platform.Fleet {
	return platform.Fleet{List: c.list, Reboot: c.reboot}
}

// Tasks returns the tasks port.
func (c *Client) Tasks() platform.Tasks {
	return platform.Tasks{Start: c.start, Renew: c.renew, Stop: c.stop, Throttle: c.throttle, Reports: c.reports}
}

func (c *Client) append(ctx context.Context, data []byte) (uint64, error) {
	body, err := c.call(ctx, http.MethodPost, "/log/append", data)
	if err != nil {
		return 0, err
	}
	var response AppendResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, errkind.New(errkind.OutcomeUnknown, "unreadable response of the log: %v", err)
	}
	return response.Offset, nil
}

func (c *Client) read(ctx context.Context, from uint64, wait time.Duration) (platform.Page, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "wait": {wait.String()}}
	body, err := c.call(ctx, http.MethodGet, "/log/read?"+query.Encode(), nil)
	if err != nil {
		return platform.Page{}, err
	}
	var page Page
	if err := codec.Unmarshal(body, &page); err != nil {
		return platform.Page{}, errors.Annotate(err, "page of the log")
	}
	return page.ToPlatform(), nil
}

func (c *Client) list(ctx context.Context, known uint64) (platform.Listing, error) {
	return get[platform.Listing](ctx, c, "/instances?newer-than="+strconv.FormatUint(known, 10))
}

func (c *Client) reports(ctx context.Context, known uint64) (platform.Reports, error) {
	return get[platform.Reports](ctx, c, "/tasks?newer-than="+strconv.FormatUint(known, 10))
}

func (c *Client) reboot(ctx context.Context, worker string) error {
	return c.post(ctx, workerPath(worker, "reboot"), nil)
}

func (c *Client) start(ctx context.Context, t platform.Task) error {
	return c.post(ctx, workerPath(t.Worker, "start"), t)
}

func (c *Client) renew(ctx context.Context, worker string, ids []string, ttl time.Duration) error {
	return c.post(ctx, workerPath(worker, "renew"), RenewRequest{IDs: ids, LeaseTTL: ttl})
}

func (c *Client) stop(ctx context.Context, worker, id string, checkpoint bool) error {
	return c.post(ctx, workerPath(worker, "stop"), StopRequest{ID: id, Checkpoint: checkpoint})
}

func (c *Client) throttle(ctx context.Context, worker, id string, cores int) error {
	return c.post(ctx, workerPath(worker, "throttle"), ThrottleRequest{ID: id, Cores: cores})
}

func workerPath(worker, action string) string {
	return "/workers/" + url.PathEscape(worker) + "/" + action
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var v T
	body, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return v, err
	}
	return v, errors.Annotate(json.Unmarshal(body, &v), path)
}

func (c *Client) post(ctx context.Context, path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.call(ctx, http.MethodPost, path, data)
	return err
}

// call sends one request; after an error of the kind LogUnavailable or OutcomeUnknown it may have
// taken effect.
func (c *Client) call(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set(HeaderClient, c.Name)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, errkind.New(errkind.LogUnavailable, "platform: %v", err)
	}
	defer response.Body.Close() //nolint:errcheck // read to its end below
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errkind.New(errkind.OutcomeUnknown, "platform: %v", err)
	}
	if response.StatusCode == http.StatusOK {
		return body, nil
	}
	return nil, responseError(response, body)
}

// responseError returns an error of the kind that the platform's response names.
func responseError(response *http.Response, body []byte) error {
	kind, ok := errkind.Parse(response.Header.Get(errkind.HeaderKind))
	if !ok {
		kind = errkind.OutcomeUnknown
	}
	return errkind.New(kind, "platform responded with status %d: %.200s", response.StatusCode, bytes.TrimSpace(body))
}
