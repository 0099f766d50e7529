// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// RequireTickets makes the workers of a pool run only steps for which they get a ticket.
// The advice service issues tickets to about half of the workers.
func (w *World) RequireTickets(pool string, valid time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ticketValidity[pool] = valid
}

// Durations of requests to the advice service.
const (
	adviceTime = 20 * time.Millisecond
	adviceEach = time.Millisecond
)

// allowed reports whether a worker may run a step.
func allowed(step string, id worker.ID) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + "/" + string(id))) // hash.Hash.Write never returns an error
	return h.Sum32()%2 == 0
}

// Advisor returns the advice service, which handles one request at a time.
func (w *World) Advisor() port.Advisor {
	busy := make(chan struct{}, 1)
	return port.Advisor{Advise: func(ctx context.Context, step string, ids []worker.ID) ([]port.Ticket, error) {
		select {
		case busy <- struct{}{}:
		case <-ctx.Done():
			return nil, errkind.New(errkind.OutcomeUnknown, "the caller has gone away")
		}
		defer func() { <-busy }()
		time.Sleep(adviceTime + time.Duration(len(ids))*adviceEach)
		var tickets []port.Ticket
		for _, id := range ids {
			if allowed(step, id) {
				tickets = append(tickets, port.Ticket{Worker: id, Text: fmt.Sprintf("%s/%s/%d", step, id, time.Now().UnixNano())})
			}
		}
		return tickets, nil
	}}
}

// validTicket reports whether a start on a worker carries a valid ticket. The caller holds
// w.mu.
func (w *World) validTicket(o *Worker, s port.Start) bool {
	valid, ok := w.ticketValidity[o.info.Pool]
	if !ok {
		return true
	}
	ref, err := job.ParseTask(s.Task)
	if err != nil {
		return false
	}
	parts := strings.Split(s.Ticket, "/")
	if len(parts) != 3 || parts[0] != ref.StepRef.String() || parts[1] != string(o.info.ID) {
		return false
	}
	at, err := strconv.ParseInt(parts[2], 10, 64)
	return err == nil && time.Since(time.Unix(0, at)) < valid && !time.Unix(0, at).Before(o.startedAt)
}
