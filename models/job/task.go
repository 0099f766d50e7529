// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"fmt"
	"strconv"
	"strings"
)

// StepRef identifies a step of one round of a job.
type StepRef struct {
	Job   ID
	Round int // 0 for a job without a repeat count
	Step  int
}

// String returns the name that workers and the advice service use.
func (r StepRef) String() string {
	return string(r.Job) + "." + strconv.Itoa(r.Round) + "." + strconv.Itoa(r.Step)
}

// TaskRef identifies a task.
type TaskRef struct {
	StepRef
	Index int
}

// String returns the name that workers use.
func (r TaskRef) String() string {
	return r.StepRef.String() + "." + strconv.Itoa(r.Index)
}

// taskParts is the number of parts of a task name.
const taskParts = 4

// ParseTask parses a task name.
func ParseTask(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskParts {
		return TaskRef{}, fmt.Errorf("invalid task name %q", name)
	}
	var numbers [taskParts - 1]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskRef{}, fmt.Errorf("invalid task name %q", name)
		}
		numbers[i] = n
	}
	return TaskRef{StepRef{ID(parts[0]), numbers[0], numbers[1]}, numbers[2]}, nil
}
