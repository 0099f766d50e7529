// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The design size, and assumptions about what the users' plan does not state; the page marks
// assumed values as such.
const (
	designWorkers = 3000
	designEntries = 60     // assumed: ten in each of six data centres
	designRuns    = 6000   // assumed: job runs stored at once
	designKeys    = 20_000 // assumed: keys stored at once

	day           = 86400.0
	changesPerDay = 3200.0
	lossesPerDay  = 35.0 + 260.0
	cycleDays     = 42.0
	runsPerDay    = 20_000.0 // assumed
	keysPerSecond = 10.0     // assumed

	fullReadRate    = 1 / 300.0 // full reads of the reports per second
	reportRows      = 3.0       // changed reports of one run: its start, its size, its end
	listChanges     = 4.0       // of the list, for each worker that fails or is replaced
	drainRecords    = 4.0       // drain, drained, reboot, return
	runRecords      = 4.0       // submit, place, running, done
	snapshotsPerDay = 4.0       // a quarter of a retention of one day
	changesMeasured = 2.0       // a second, in the benchmark
	chunkBytes      = 64 << 10
	mega            = 1 << 20
	percent         = 100.0
)

// The limits of control on a node.
const (
	limitCore   = 1.5 // percent
	limitMemory = 256.0
	limitBytes  = 9000.0
)

var specs = []spec{
	{"worker-heap", "memory of a worker's state", "Snapshot/thing=worker", "", "n", "heap-B", designWorkers},
	{"worker-log", "a worker in a snapshot", "Snapshot/thing=worker", "", "n", "log-B", designWorkers},
	{"run-heap", "memory of a job run's state", "Snapshot/thing=run", "", "n", "heap-B", designRuns},
	{"run-log", "a job run in a snapshot", "Snapshot/thing=run", "", "n", "log-B", designRuns},
	{"key-heap", "memory of a key's state", "Snapshot/thing=key", "", "n", "heap-B", designKeys},
	{"key-log", "a key in a snapshot", "Snapshot/thing=key", "", "n", "log-B", designKeys},
	{"fold-claim", "fold of a claim", "Fold/record=claim", "", "keys", "ns/record", designKeys},
	{"fold-sighting", "fold of a change of a worker", "Fold/record=sighting", "", "workers", "ns/record", designWorkers},
	{"assign-change", "plan after a changed file", "Assign", "", "workers", "change-ms", designWorkers},
	{"assign-full", "first plan, with all instances spare", "Assign", "", "workers", "full-ms", designWorkers},
	{"place-plan", "placement of all waiting runs", "Place", "", "workers", "plan-ms", designWorkers},
	{"place-change", "placement after a change while all workers are full", "Place", "", "workers", "change-ms", designWorkers},
	{"reports", "one full read of the workers' reports", "Reports", "", "tasks", "platform-B", designRuns},
	{"rest-core", "processor time at rest", "Control/", "/rest", "entries", "core-pct", designEntries},
	{"rest-peer", "bytes between entries at rest", "Control/", "/rest", "entries", "peer-B/s", designEntries},
	{"rest-platform", "bytes to and from the platform at rest", "Control/", "/rest", "entries", "platform-B/s", designEntries},
	{"rest-heap", "heap at rest", "Control/", "/rest", "entries", "heap-MB", designEntries},
	{"changes-core", "processor time at two changes a second", "Control/", "/changes", "entries", "core-pct", designEntries},
	{"changes-peer", "bytes between entries at two changes a second", "Control/", "/changes", "entries", "peer-B/s", designEntries},
	{"fleet-core", "processor time by size of the fleet", "ControlWorkers", "", "workers", "core-pct", designWorkers},
	{"fleet-platform", "bytes to and from the platform by size of the fleet", "ControlWorkers", "", "workers", "platform-B/s", designWorkers},
	{"fleet-heap", "heap by size of the fleet", "ControlWorkers", "", "workers", "heap-MB", designWorkers},
	{"member-peer", "bytes of heartbeats", "Membership", "", "entries", "peer-B/s", designEntries},
}

func slopeTable(slopes map[string]slope) string {
	var b strings.Builder
	b.WriteString("| slope | sizes of x | at 0 | for each x | fit (R2) | spread | at the design size | plot |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, k := range specs {
		s := slopes[k.id]
		spread := "one run"
		if s.runs > 1 {
			spread = fmt.Sprintf("%.0f%% of %d runs", s.spread*100, s.runs)
		}
		fmt.Fprintf(&b, "| %s | %s: %s | %.4g %s | %.4g | %.2f | %s | %.4g %s at %g | [svg](plots/%s.svg) |\n",
			s.title, s.x, joined(s.xs), s.a, s.unit, s.b, s.r2, spread, s.at(s.design), s.unit, s.design, s.id)
	}
	return b.String()
}

func joined(xs []float64) string {
	var parts []string
	for _, x := range xs {
		parts = append(parts, fmt.Sprintf("%g", x))
	}
	return strings.Join(parts, ", ")
}

// role is the cost of one role on a node at the design size.
type role struct {
	name      string
	core      float64 // percent
	memory    float64 // MB
	bytes     float64 // a second
	appends   float64 // a second, all entries together
	mechanism string
}

// unmeasured marks values for which there is no slope.
var unmeasured = math.NaN()

// roles computes the cost of the roles from the slopes.
func roles(s map[string]slope) []role {
	at := func(id string) float64 { return s[id].at(s[id].design) }
	perSecond := func(perDay float64) float64 { return perDay / day }
	changes := perSecond(changesPerDay)
	decided := perSecond(lossesPerDay*listChanges + designWorkers/cycleDays*drainRecords)
	jobRecords := perSecond(runsPerDay * runRecords)
	snapshotBytes := at("worker-log") + at("run-log") + at("key-log")
	fold := func(records float64) float64 { return records * at("fold-claim") / 1e9 * percent }
	log := func(records float64) float64 { return records * s["key-log"].b }
	plan := func(id string) float64 { return at(id) / 1000 * percent }
	return []role{
		{"all roles at rest: heartbeats, leases, instance list, log", at("rest-core"), at("rest-heap"), at("rest-peer") + at("rest-platform"), unmeasured,
			"one probe a second, which carries status updates; a lease is renewed by its holder every two seconds; long poll; a list is read only if it is newer"},
		{"the same, by size of the fleet", s["fleet-core"].b * designWorkers, s["fleet-heap"].b * designWorkers, s["fleet-platform"].b * designWorkers, 0,
			"the accounts of slots and targets are rebuilt only when instances, owners or members change"},
		{"rollout of the configuration", changes * (at("changes-core") - at("rest-core")) / changesMeasured, 0,
			changes * (at("changes-peer") - at("rest-peer")) / changesMeasured, changes,
			"long poll on the log; the entry that accepted the file queries each other entry once"},
		{"state and fold of decisions on pools, maintenance and jobs", fold(decided + jobRecords), (at("worker-heap") + at("run-heap")) / mega, log(decided + jobRecords), decided + jobRecords,
			"one pure fold on every entry; sorted immutable tables, indexes rebuilt and never stored"},
		{"claims of keys and their results", fold(2 * keysPerSecond), at("key-heap") / mega, log(2 * keysPerSecond), 2 * keysPerSecond,
			"group commit (appends counted without it); a key carries its expiry"},
		{"snapshots", unmeasured, snapshotBytes / mega, snapshotBytes * snapshotsPerDay / day, snapshotBytes / chunkBytes * snapshotsPerDay / day,
			"written every quarter of the retention, in chunks, by the holder of a lease"},
		{"pool decisions, on the holder", (changes + perSecond(lossesPerDay*listChanges)) * plan("assign-change"), 0, 0, 0,
			"one plan for each change; the instances are counted once for each plan"},
		{"maintenance, on the holder", perSecond(designWorkers/cycleDays*drainRecords) * plan("assign-change"), 0, 0, 0,
			"part of the same plan, one rack at a time and more near the end of the period"},
		{"placement, on the holder", perSecond(runsPerDay*runRecords) * plan("place-change"), 0, 0, 0,
			"after a change only the affected pools are examined; here every stored run waits for a whole worker"},
		{"reports of the workers, to the holder", unmeasured, 0, at("reports")*fullReadRate + perSecond(runsPerDay*reportRows)*s["reports"].b, 0,
			"changed reports are read every second, all reports every five minutes; here every stored run is active"},
		{"slots between entries under load", unmeasured, unmeasured, unmeasured, 0,
			"owners lend slots, and holders keep those that they use; messages are sent only when demand moves between entries"},
		{"administration API", unmeasured, unmeasured, unmeasured, unmeasured, "responds from the folded state"},
	}
}

func roleTable(slopes map[string]slope) string {
	var b strings.Builder
	b.WriteString("| role | core % | memory MB | bytes/s | appends/s of all | fits | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	var sum role
	for _, r := range roles(slopes) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.name,
			cell(r.core, 3), cell(r.memory, 2), cell(r.bytes, 0), cell(r.appends, 2), fits(r), r.mechanism)
		sum.core += valueOrZero(r.core)
		sum.memory += valueOrZero(r.memory)
		sum.bytes += valueOrZero(r.bytes)
		sum.appends += valueOrZero(r.appends)
	}
	fmt.Fprintf(&b, "| sum of the measured values, on an entry that holds every role | %s | %s | %s | %s | %s | |\n",
		cell(sum.core, 3), cell(sum.memory, 2), cell(sum.bytes, 0), cell(sum.appends, 2), fits(sum))
	return b.String()
}

func cell(v float64, digits int) string {
	if math.IsNaN(v) {
		return "not measured"
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}

func valueOrZero(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return v
}

// fits returns "yes", or the limits that a role exceeds.
func fits(r role) string {
	var over []string
	if r.core > limitCore {
		over = append(over, "core")
	}
	if r.memory > limitMemory {
		over = append(over, "memory")
	}
	if r.bytes > limitBytes {
		over = append(over, "bytes")
	}
	if r.appends > 100 {
		over = append(over, "appends")
	}
	if len(over) == 0 {
		return "yes"
	}
	return "no: " + strings.Join(over, ", ")
}
