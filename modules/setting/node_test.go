// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// nodeFile is a settings file of a node without the optional settings.
const nodeFile = `[node]
name = "n1"
address = "10.0.0.1"
[listen]
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
node_port = 7000
[platform]
store = "10.0.0.9:80"
instances = "10.0.0.8:80"
partitions = 8
[bounds]
lease_most = "10s"
grace = "6s"
`

// TestSlowStartSetting guards against a share of cold workers that is not checked, or whose default
// replaces a share of 0.
func TestSlowStartSetting(t *testing.T) {
	for text, want := range map[string]float64{"": 0.5, "[placement]\nslow_start = 0.0": 0, "[placement]\nslow_start = 1.0": 1, "[placement]\nslow_start = 0.3": 0.3} {
		n, err := ParseNode("node.toml", nodeFile+text)
		assert.NilError(t, err)
		assert.Equal(t, n.Placement.StartShare(), want)
	}
	for _, bad := range []string{"-0.1", "1.1", "nan"} {
		_, err := ParseNode("node.toml", nodeFile+"[placement]\nslow_start = "+bad)
		assert.ErrorContains(t, err, "is not allowed; allowed is 0 to 1", bad)
	}
}

// TestMoveWorthSetting guards against a worth of a move that is not checked: a holder would keep no idle
// instance, or all of them for ever.
func TestMoveWorthSetting(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "[instances]\nmove_worth = \"20s\"": 20 * time.Second} {
		n, err := ParseNode("node.toml", nodeFile+text)
		assert.NilError(t, err)
		assert.Equal(t, n.Instances.MoveWorth.Std(), want)
	}
	for _, bad := range []string{"-1s", "1ms", "11m"} {
		_, err := ParseNode("node.toml", nodeFile+"[instances]\nmove_worth = \""+bad+"\"")
		assert.ErrorContains(t, err, "is not allowed; allowed is 100ms to 10m0s", bad)
	}
}

// TestOptionalNodeSettings checks the settings that a platform may leave out: the rates of the instance
// API, and the bounds by which readings of the store may wait.
func TestOptionalNodeSettings(t *testing.T) {
	n, err := ParseNode("node.toml", nodeFile)
	assert.NilError(t, err)
	assert.Equal(t, n.MaxReadWait(), time.Duration(0))
	assert.Equal(t, n.Platform.InstanceOrders, 0.0)
	n, err = ParseNode("node.toml", strings.Replace(nodeFile, "[bounds]", "instance_orders_per_s = 64.0\n[bounds]\ncontact_time = \"6000ms\"\nconfig_time = \"5000ms\"", 1))
	assert.NilError(t, err)
	assert.Equal(t, n.MaxReadWait(), 2500*time.Millisecond)
	assert.Equal(t, n.Platform.InstanceOrders, 64.0)
	for _, bad := range []string{"instance_orders_per_s = -1.0\n[bounds]", "instance_readings_per_s = nan\n[bounds]", "[bounds]\ncontact_time = \"-1s\"", "[bounds]\nconfig_time = \"-1s\""} {
		_, err := ParseNode("node.toml", strings.Replace(nodeFile, "[bounds]", bad, 1))
		assert.ErrorContains(t, err, "is not allowed; allowed is", bad)
	}
}

// TestNodeLimitSettings guards against limits of a node that are not checked: a negative one would count as
// unknown.
func TestNodeLimitSettings(t *testing.T) {
	with := func(text string) string { return strings.Replace(nodeFile, "[listen]", text+"\n[listen]", 1) }
	n, err := ParseNode("node.toml", with("descriptors = 4100\nmemory_mb = 284"))
	assert.NilError(t, err)
	assert.Equal(t, n.Node.Descriptors, 4100)
	for _, bad := range []string{"descriptors = -1", "descriptors = 2000000000", "memory_mb = -1"} {
		_, err := ParseNode("node.toml", with(bad))
		assert.ErrorContains(t, err, "is not allowed; allowed is 0 for the limit of the process", bad)
	}
}

// TestClientLimitSettings guards against limits of clients that are not checked: a negative one would count as none.
func TestClientLimitSettings(t *testing.T) {
	with := func(text string) string { return strings.Replace(nodeFile, "[platform]", text+"\n[platform]", 1) }
	n, err := ParseNode("node.toml", with("connections = 100\nbody_memory_mb = 30\nmessage_memory_mb = 20"))
	assert.NilError(t, err)
	assert.Equal(t, n.Listen.Connections, 100)
	assert.Equal(t, n.Listen.BodyMemoryMB, int64(30))
	assert.Equal(t, n.Listen.MessageMemoryMB, int64(20))
	for _, bad := range []string{"connections = -1", "body_memory_mb = -1", "message_memory_mb = -1", "body_memory_mb = 2000000000"} {
		_, err := ParseNode("node.toml", with(bad))
		assert.ErrorContains(t, err, "is not allowed; allowed is 0 for the default, to", bad)
	}
}

// TestStoreSizeSettings guards against sizes of the store that no record of a job would fit in.
func TestStoreSizeSettings(t *testing.T) {
	with := func(text string) string {
		return strings.Replace(nodeFile, "[platform]", "[platform]\n"+text, 1)
	}
	n, err := ParseNode("node.toml", with("record_bytes = 262144\nappend_bytes = 2097152"))
	assert.NilError(t, err)
	assert.Equal(t, n.Platform.RecordBytes, 262144)
	assert.Equal(t, n.Platform.AppendBytes, 2097152)
	for _, bad := range []string{"record_bytes = -1", "record_bytes = 100", "append_bytes = 16383"} {
		_, err := ParseNode("node.toml", with(bad))
		assert.ErrorContains(t, err, "is not allowed; allowed is 0 for the default", bad)
	}
}

// TestAdmissionPolicySetting guards against a misspelt policy that is taken for another one: it is refused
// with its file, line and key, and what is allowed.
func TestAdmissionPolicySetting(t *testing.T) {
	n, err := ParseNode("node.toml", nodeFile)
	assert.NilError(t, err)
	assert.Equal(t, n.Admission.Policy, AdmissionOverload)
	for _, policy := range admissionPolicies {
		n, err := ParseNode("node.toml", nodeFile+"[admission]\npolicy = \""+policy+"\"\n")
		assert.NilError(t, err)
		assert.Equal(t, n.Admission.Policy, policy)
	}
	_, err = ParseNode("node.toml", nodeFile+"[admission]\npolicy = \"complete\"\n")
	assert.ErrorContains(t, err, `node.toml:16: admission.policy: "complete" is not allowed; allowed are auto, overload, completion`)
}

// TestPlaceAheadSetting guards against a misspelt setting that leaves placing ahead turned on.
func TestPlaceAheadSetting(t *testing.T) {
	for _, ahead := range []string{PlaceAheadAuto, PlaceAheadOff} {
		n, err := ParseNode("node.toml", nodeFile+"[placement]\nahead = \""+ahead+"\"\n")
		assert.NilError(t, err)
		assert.Equal(t, n.Placement.Ahead, ahead)
	}
	_, err := ParseNode("node.toml", nodeFile+"[placement]\nahead = \"of\"\n")
	assert.ErrorContains(t, err, `allowed are "auto" and "off"`)
}
