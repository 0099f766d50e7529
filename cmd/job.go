// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/modules/oncekey"
	"github.com/yardbridge/yardbridge/routers/apiv1"
	"github.com/yardbridge/yardbridge/services/jobs"
)

// defaultKeyTTL is how long a key created here is valid.
const defaultKeyTTL = time.Hour

// runJob submits, cancels or prints job runs.
func runJob(ctx context.Context, c console, flags *flag.FlagSet, args []string) error {
	api := clientFlags(flags)
	key := flags.String("key", "", "key that makes a repeated submission harmless (default: a fresh one)")
	if err := parse(flags, args, "[flags] submit JOB | cancel RUN... | status [RUN]", 1, -1); err != nil {
		return err
	}
	rest := flags.Args()[1:]
	switch verb := flags.Arg(0); {
	case verb == "submit" && len(rest) == 1:
		return submitJob(ctx, c, api, rest[0], *key)
	case verb == "cancel" && len(rest) > 0:
		return cancelJobs(ctx, c, api, rest)
	case verb == "status" && len(rest) == 0:
		return listJobs(ctx, c, api)
	case verb == "status" && len(rest) == 1:
		s, data, err := fetch[jobs.Status](ctx, api, http.MethodGet, "/jobs/"+url.PathEscape(rest[0]), nil)
		if err != nil {
			return err
		}
		api.print(c, data, func() { printJobs(c, []jobs.Status{s}) })
		return nil
	}
	return usageError{"allowed are: submit JOB, cancel RUN..., status [RUN]"}
}

func submitJob(ctx context.Context, c console, api *client, job, key string) error {
	if key == "" {
		key = oncekey.New(time.Now().Add(defaultKeyTTL))
	}
	body, err := json.Marshal(jobs.Submission{Job: job, Key: key})
	if err != nil {
		return errors.Trace(err)
	}
	s, data, err := fetch[jobs.Status](ctx, api, http.MethodPost, "/jobs", body)
	if err != nil {
		c.printError("the key was " + key + "; submit again with -key to be sure that it runs once")
		return err
	}
	api.print(c, data, func() { printJobs(c, []jobs.Status{s}) })
	return nil
}

func cancelJobs(ctx context.Context, c console, api *client, ids []string) error {
	body, err := json.Marshal(apiv1.CancelRequest{IDs: ids})
	if err != nil {
		return errors.Trace(err)
	}
	r, data, err := fetch[jobs.CancelResult](ctx, api, http.MethodPost, "/jobs/cancel", body)
	if err != nil {
		return err
	}
	api.print(c, data, func() { c.printLine("%d runs cancelled", len(r.IDs)) })
	return nil
}

func listJobs(ctx context.Context, c console, api *client) error {
	list, data, err := fetch[[]jobs.Status](ctx, api, http.MethodGet, "/jobs", nil)
	if err != nil {
		return err
	}
	api.print(c, data, func() { printJobs(c, list) })
	return nil
}

func printJobs(c console, list []jobs.Status) {
	c.printLine("%-42s %-20s %-10s %-8s %-16s %s", "RUN", "JOB", "STATE", "ATTEMPT", "WORKER", "REASON")
	for _, s := range list {
		c.printLine("%-42s %-20s %-10s %-8d %-16s %s", s.ID, s.Job, s.State, s.Attempt, s.Worker, s.Reason)
	}
}

// runKey creates a key.
func runKey(_ context.Context, c console, flags *flag.FlagSet, args []string) error {
	ttl := flags.Duration("life", defaultKeyTTL, "how long the key is valid, 24h at most")
	if err := parse(flags, args, "[flags]", 0, 0); err != nil {
		return err
	}
	if *ttl <= 0 || *ttl > oncekey.MaxLifetime {
		return usageError{"-life must be above 0 and at most " + oncekey.MaxLifetime.String()}
	}
	c.printLine("%s", oncekey.New(time.Now().Add(*ttl)))
	return nil
}

// runCustomerKey creates a customer's key, which is printed only once.
func runCustomerKey(_ context.Context, c console, flags *flag.FlagSet, args []string) error {
	if err := parse(flags, args, "", 0, 0); err != nil {
		return err
	}
	key := rand.Text()
	sum, _ := config.HashKey(key) // a text of this length is always a valid key
	text, err := sum.MarshalText()
	if err != nil {
		return errors.Trace(err)
	}
	c.printLine("key %s", key)
	c.printLine("sum %s", text)
	return nil
}
