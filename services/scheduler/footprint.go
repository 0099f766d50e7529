// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"unsafe"

	"github.com/yardbridge/yardbridge/models/job"
)

// What parts of an accepted job take of its owner's memory at most, in bytes, with the maps that hold them.
const (
	jobBytes   = int64(unsafe.Sizeof(jobState{})) + 500 // with its entries in maps and lists
	specBytes  = int64(unsafe.Sizeof(job.Step{})) + 60  // a step as submitted, beside its names
	refBytes   = 8                                      // a reference to another step
	roundBytes = int64(unsafe.Sizeof(roundState{})) + 16
	stepBytes  = int64(unsafe.Sizeof(stepState{})) + 250 // with the map of its tasks
	taskBytes  = int64(unsafe.Sizeof(taskState{})) + 300 // of a task that has been started, with its run or what it has failed on
	partBytes  = 100                                     // of a part of its progress
)

// Footprint returns what a job takes of its owner's memory at most until it has ended, in bytes. What is persisted of it
// is less.
func Footprint(s *job.Submission) int64 {
	rounds := int64(s.Rounds())
	tasks := rounds * int64(s.TasksPerRound())
	begun := int64(maxBegun)
	for i := range s.Steps {
		o := &s.Steps[i]
		if o.LongRunning || o.Gang {
			begun += int64(o.Count)
		}
	}
	steps := rounds * int64(len(s.Steps))
	return endedFootprint(s) + rounds*roundBytes + steps*stepBytes + min(tasks, begun)*taskBytes + tasks/8 + tasks/tasksPerPart*partBytes
}

// endedFootprint returns what a job takes of its owner's memory at most once it has ended, in bytes.
func endedFootprint(s *job.Submission) int64 {
	size := jobBytes + int64(len(s.Spec)+len(s.Customer))
	for i := range s.Steps {
		o := &s.Steps[i]
		size += specBytes + refBytes*int64(len(o.DependsOn)) + int64(len(o.Label)+len(o.Rack)+len(o.Image))
	}
	return size
}

// Jobs that take much memory get only a part of it, so that they leave room for all others.
const (
	largeJob      = 1.0 / 64 // of the limit: a job that takes more is a large one
	largeJobShare = 0.75     // of the limit, which large jobs may fill
)

// Reserve reserves the memory of a job that is about to be submitted, and reports whether there is enough.
func (p *Pool) Reserve(s *job.Submission) bool {
	bytes, share := Footprint(s), 1.0
	if float64(bytes) > largeJob*float64(p.Memory.Limit()) {
		share = largeJobShare
	}
	return p.Memory.Take(bytes, share)
}

// FitsAlone reports whether there is enough memory for a job if there are no others.
func (p *Pool) FitsAlone(s *job.Submission) bool {
	limit := p.Memory.Limit()
	return limit == 0 || float64(Footprint(s)) <= largeJobShare*float64(limit)
}

// Unreserve gives back the memory of a job that is not submitted after all.
func (p *Pool) Unreserve(s *job.Submission) { p.Memory.Add(-Footprint(s)) }

// setFootprint sets what a job takes, which is reserved or is to be given back.
func (p *Pool) setFootprint(j *jobState, bytes int64) {
	p.footprint += bytes - j.footprint
	j.footprint = bytes
}

// changeFootprint sets what a job takes, and reserves or gives back the difference.
func (p *Pool) changeFootprint(j *jobState, bytes int64) {
	p.Memory.Add(bytes - j.footprint)
	p.setFootprint(j, bytes)
}

// Footprint returns what all jobs of the pool take of their owner's memory at most, in bytes.
func (p *Pool) Footprint() int64 { return p.footprint }

// Close gives back the memory of all jobs: the pool has another owner.
func (p *Pool) Close() {
	p.Memory.Add(-p.footprint)
	p.Memory, p.footprint = nil, 0
}
