// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/bearer"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/routers/apiv1"
)

// Environment variables that replace flags.
const (
	envServer = "YARDBRIDGE_SERVER"
	envToken  = "YARDBRIDGE_TOKEN"
)

const (
	defaultServer = "127.0.0.1:7610"
	clientTimeout = 60 * time.Second
)

// client calls the administration API of an entry.
type client struct {
	server string
	token  string
	json   bool
}

// clientFlags defines the flags of every subcommand that calls the API.
func clientFlags(flags *flag.FlagSet) *client {
	c := &client{}
	flags.StringVar(&c.server, "server", envOr(envServer, defaultServer), "IP address and port of an entry's administration API, or "+envServer)
	flags.StringVar(&c.token, "token", os.Getenv(envToken), "token for the administration API, or "+envToken)
	flags.BoolVar(&c.json, "json", false, "write JSON")
	return c
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// call sends a request and returns the body of the response, or the error that the API returned.
func (c *client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.server+apiv1.Prefix+path, bytes.NewReader(body))
	if err != nil {
		return nil, usageError{err.Error()}
	}
	request.Header.Set("Authorization", bearer.Scheme+" "+c.token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errkind.New(errkind.OutcomeUnknown, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, apiError(response, data)
	}
	return data, nil
}

// sendError distinguishes an entry that can't be reached from one that did not respond.
func sendError(err error) error {
	var op *net.OpError
	if stderrors.As(err, &op) && op.Op == "dial" {
		return errkind.New(errkind.NoTarget, "%v", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "%v", err)
}

// apiError returns the error of an API response.
func apiError(response *http.Response, data []byte) error {
	body := struct {
		Message string `json:"message"`
	}{}
	kind, ok := errkind.Parse(response.Header.Get(errkind.HeaderKind))
	if !ok || json.Unmarshal(data, &body) != nil {
		return errkind.New(errkind.Internal, "%s: %.200s", response.Status, data)
	}
	return errkind.New(kind, "%s", body.Message)
}

// fetch calls the API and decodes the response.
func fetch[T any](ctx context.Context, c *client, method, path string, body []byte) (T, []byte, error) {
	var v T
	data, err := c.call(ctx, method, path, body)
	if err != nil {
		return v, nil, err
	}
	return v, data, errors.Trace(json.Unmarshal(data, &v))
}

// print prints the response as JSON if requested, and otherwise by a function.
func (c *client) print(out console, data []byte, asText func()) {
	if c.json {
		out.printLine("%s", bytes.TrimSpace(data))
		return
	}
	asText()
}
