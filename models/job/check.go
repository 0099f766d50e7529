// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"fmt"
	"time"
	"unsafe"
)

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 1000

// The bounds of a submission. Those of sizes only prevent sums from overflowing; the maximum length
// of a specification is the platform's.
const (
	idDigits    = 16
	maxSpec     = 4000      // bytes
	maxCount    = 100_000   // tasks of a step
	maxTasks    = 1_000_000 // of all rounds together
	maxCPU      = 1 << 30   // thousandths of a core
	maxMemory   = 1 << 30   // MiB
	maxGPU      = 1 << 20
	maxTimes    = 100_000
	maxEstimate = 10 * 365 * 24 * time.Hour
	maxSpan     = 250 * 365 * 24 * time.Hour // from the first round to the last one, which fits a duration
	maxEncoded  = 200_000                    // bytes, as estimated by encodedSize: a job is persisted in one record
)

// The bytes that a step and a reference to another step take at most, beside the step's names.
const (
	stepBytes      = 120
	referenceBytes = 4
)

// encodedSize returns what a submission takes at most when it is persisted, in bytes.
func (s *Submission) encodedSize() int {
	size := len(s.Spec)
	for i := range s.Steps {
		o := &s.Steps[i]
		size += stepBytes + referenceBytes*len(o.DependsOn) + len(o.Label) + len(o.Rack) + len(o.Image)
	}
	return size
}

// CheckSteps returns an error for a number of steps that a job may not have, and nil for another one.
func CheckSteps(n int) error {
	if n == 0 || n > MaxSteps {
		return fmt.Errorf("job has %d steps; 1 to %d are allowed", n, MaxSteps)
	}
	return nil
}

// Memory returns what a submission takes in memory, in bytes.
func (s *Submission) Memory() int64 {
	size := int64(unsafe.Sizeof(*s)) + int64(len(s.Spec))
	for i := range s.Steps {
		o := &s.Steps[i]
		size += int64(unsafe.Sizeof(*o)) + int64(cap(o.DependsOn))*int64(unsafe.Sizeof(0)) + int64(len(o.Label)+len(o.Rack)+len(o.Image))
	}
	return size
}

// CheckID returns an error for an invalid job ID, and nil for a valid one.
func CheckID(id string) error {
	if len(id) != idDigits {
		return fmt.Errorf("job ID %q must have %d hex digits", id, idDigits)
	}
	for _, c := range id {
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' {
			continue
		}
		return fmt.Errorf("job ID %q must contain hex digits only", id)
	}
	return nil
}

// Check returns the first error of a submission, nil for none.
func (s *Submission) Check() error {
	if err := CheckID(string(s.ID)); err != nil {
		return err
	}
	if len(s.Spec) > maxSpec {
		return fmt.Errorf("specification has %d bytes; at most %d are allowed", len(s.Spec), maxSpec)
	}
	if err := CheckSteps(len(s.Steps)); err != nil {
		return err
	}
	if size := s.encodedSize(); size > maxEncoded {
		return fmt.Errorf("job takes %d bytes with its steps, their names and the steps that they follow; at most %d are allowed", size, maxEncoded)
	}
	if s.RepeatCount < 0 || s.RepeatCount > maxTimes {
		return fmt.Errorf("repeat count is %d; 0 to %d are allowed", s.RepeatCount, maxTimes)
	}
	if longest := maxSpan / time.Duration(s.Rounds()); s.Interval < 0 || s.Interval > longest {
		return fmt.Errorf("interval is %s; 0 to %s are allowed with a repeat count of %d", s.Interval, longest, s.RepeatCount)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count * s.Rounds()
	}
	if tasks > maxTasks {
		return fmt.Errorf("job has %d tasks in total; at most %d are allowed", tasks, maxTasks)
	}
	return nil
}

func (s *Step) check(number int) error {
	ranges := []struct {
		name  string
		value int
		least int
		most  int
	}{
		{"count", s.Count, 1, maxCount},
		{"processors", s.Size.CPU, 0, maxCPU},
		{"memory", s.Size.MemoryMB, 0, maxMemory},
		{"accelerators", s.Size.Accelerators, 0, maxGPU},
		{"maximum of tasks on one worker", s.MaxPerWorker, 0, maxCount},
		{"maximum of unavailable tasks", s.MaxUnavailable, 0, maxCount},
	}
	for _, r := range ranges {
		if r.value < r.least || r.value > r.most {
			return fmt.Errorf("%s is %d; %d to %d are allowed", r.name, r.value, r.least, r.most)
		}
	}
	if s.Estimate < 0 || s.Estimate > maxEstimate {
		return fmt.Errorf("estimate %s is out of range", s.Estimate)
	}
	if s.LatencyObjective < 0 {
		return fmt.Errorf("latency objective %s is negative", s.LatencyObjective)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= number {
			return fmt.Errorf("depends on step %d; only earlier steps are allowed", a)
		}
	}
	return nil
}
