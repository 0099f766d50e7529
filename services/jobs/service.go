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

func (s *Service) status(id string, r state.Run) Status {
	status := Status{
		ID: id, Job: r.Job.Name, Team: r.Job.Team, State: r.State, Attempt: r.Attempt,
		Worker: r.Worker, Reason: r.Reason, Submitted: r.SubmittedAt,
	}
	if !r.Deadline.IsZero() {
		status.Deadline = &r.Deadline
	}
	if reason, ok := s.Waiting()[r.Job.Pool][id]; ok && r.State == record.Pending {
		status.Reason = string(reason)
	}
	return status
}

// List returns the runs of a team, or all runs for an empty team.
func (s *Service) List(team string) []Status {
	list := []Status{}
	for id, r := range s.State().Runs.All() {
		if team == "" || r.Job.Team == team {
			list = append(list, s.status(id, r))
		}
	}
	return list
}

// Get returns the status of one run.
func (s *Service) Get(team, id string) (Status, error) {
	r, ok := s.State().Runs.Get(id)
	if !ok || team != "" && r.Job.Team != team {
		return Status{}, errkind.New(errkind.NotFound, "job run %.80q is not known", id)
	}
	return s.status(id, r), nil
}

// Submit appends a run to the log. A submission with a known key returns the run that has it.
func (s *Service) Submit(ctx context.Context, team string, request Submission) (Status, error) {
	current := s.State()
	if err := oncekey.Check(request.Key, current.Now); err != nil {
		return Status{}, err
	}
	o, ok := current.Catalog.Get(manifest.Ref{Kind: manifest.KindJob, Name: request.Job})
	if !ok {
		return Status{}, errkind.New(errkind.NotFound, "job %.80q is not declared", request.Job)
	}
	if team != "" && o.Job.Team != team {
		return Status{}, errkind.New(errkind.Forbidden, "job %s belongs to another team", request.Job)
	}
	verdicts, err := s.Propose(ctx, []record.Record{{Submit: &record.Submit{
		ID: request.Key, Job: *o.Job, Deadline: FinishBy(*o.Job, s.Clock.Now()),
	}}})
	if err != nil {
		return Status{}, err
	}
	if v := verdicts[0]; v != nil && !errkind.Is(v, errkind.AlreadyRun) {
		return Status{}, v
	}
	return s.Get(team, request.Key)
}

// CancelResult lists the cancelled runs.
type CancelResult struct {
	IDs []string `json:"ids"`
}

// cancelChunk is the largest number of runs that one record cancels.
const cancelChunk = 500

// Cancel cancels runs. If one of them is unknown or belongs to another team, none is cancelled.
func (s *Service) Cancel(ctx context.Context, team string, ids []string) (CancelResult, error) {
	current := s.State()
	for _, id := range ids {
		r, ok := current.Runs.Get(id)
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
	_, err := s.Propose(ctx, records)
	return CancelResult{IDs: ids}, err
}
