// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/oncekey"
)

// Service handles the submissions, queries and cancellations of teams.
type Service struct {
	Clock   clock.Clock
	State   func() state.State
	Propose func(ctx context.Context, records []record.Record) ([]state.Verdict, error)
	Waiting func() map[string]map[string]Reason
}

// Submission requests one run of a declared job. The key makes a repeated submission return the
// existing run.
type Submission struct {
	Job string `json:"job"`
	Key string `json:"key"`
}

// Status describes a run to a team.
type Status struct {
	ID        string          `json:"id"`
	Job       string          `json:"job"`
	Team      string          `json:"team"`
	State     record.RunState `json:"state"`
	Attempt   int             `json:"attempt"`
	Worker    string          `json:"worker,omitempty"`
	Deadline  *time.Time      `json:"deadline,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	Submitted time.Time       `json:"submitted"`
}

func (d *Service) status(id string, r state.Run) Status {
	s := Status{
		ID: id, Job: r.Job.Name, Team: r.Job.Team, State: r.State, Attempt: r.Attempt,
		Worker: r.Worker, Reason: r.Reason, Submitted: r.SubmittedAt,
	}
	if !r.Deadline.IsZero() {
		s.Deadline = &r.Deadline
	}
	if reason, ok := d.Waiting()[r.Job.Pool][id]; ok && r.State == record.Pending {
		s.Reason = string(reason)
	}
	return s
}

// List returns the runs of a team, or all runs for an empty team.
func (d *Service) List(team string) []Status {
	list := []Status{}
	for id, r := range d.State().Runs.All() {
		if team == "" || r.Job.Team == team {
			list = append(list, d.status(id, r))
		}
	}
	return list
}

// Get returns the status of one run.
func (d *Service) Get(team, id string) (Status, error) {
	r, ok := d.State().Runs.Get(id)
	if !ok || team != "" && r.Job.Team != team {
		return Status{}, errkind.New(errkind.NotFound, "job run %.80q is not known", id)
	}
	return d.status(id, r), nil
}

// Submit appends a run to the log. A submission with a known key returns the run that has it.
func (d *Service) Submit(ctx context.Context, team string, q Submission) (Status, error) {
	s := d.State()
	if err := oncekey.Check(q.Key, s.Now); err != nil {
		return Status{}, err
	}
	o, ok := s.Catalog.Get(manifest.Ref{Kind: manifest.KindJob, Name: q.Job})
	if !ok {
		return Status{}, errkind.New(errkind.NotFound, "job %.80q is not declared", q.Job)
	}
	if team != "" && o.Job.Team != team {
		return Status{}, errkind.New(errkind.Forbidden, "job %s belongs to another team", q.Job)
	}
	verdicts, err := d.Propose(ctx, []record.Record{{Submit: &record.Submit{
		ID: q.Key, Job: *o.Job, Deadline: FinishBy(*o.Job, d.Clock.Now()),
	}}})
	if err != nil {
		return Status{}, err
	}
	if v := verdicts[0]; v != nil && !errkind.Is(v, errkind.AlreadyRun) {
		return Status{}, v
	}
	return d.Get(team, q.Key)
}

// CancelResult lists the cancelled runs.
type CancelResult struct {
	IDs []string `json:"ids"`
}

// cancelChunk is the largest number of runs that one record cancels.
const cancelChunk = 500

// Cancel cancels runs. If one of them is unknown or belongs to another team, none is cancelled.
func (d *Service) Cancel(ctx context.Context, team string, ids []string) (CancelResult, error) {
	s := d.State()
	for _, id := range ids {
		r, ok := s.Runs.Get(id)
		if !ok || team != "" && r.Job.Team != team {
			return CancelResult{}, errkind.New(errkind.NotFound, "job run %.80q is not known; nothing was cancelled", id)
		}
	}
	var records []record.Record
	for from := 0; from < len(ids); from += cancelChunk {
		chunk := ids[from:min(from+cancelChunk, len(ids))]
		records = append(records, record.Record{Cancel: &record.Cancel{IDs: chunk}})
	}
	if len(records) == 0 {
		return CancelResult{IDs: []string{}}, nil
	}
	_, err := d.Propose(ctx, records)
	return CancelResult{IDs: ids}, err
}
