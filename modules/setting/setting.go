// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// Settings is all that a process is told about itself.
type Settings struct {
	Entry    Entry    `toml:"entry"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
	Tokens   []Token  `toml:"token"`
}

// Entry names the process and its place.
type Entry struct {
	Name       string `toml:"name"`
	Hall       string `toml:"hall"`
	DataCenter string `toml:"data_center"`
}

// Listen holds the IP and port of each surface.
type Listen struct {
	Callers string `toml:"callers"`
	Admin   string `toml:"admin"`
	Peers   string `toml:"peers"`
}

// Platform says where the platform is.
type Platform struct {
	URL       string            `toml:"url"`
	Retention tomlfile.Duration `toml:"retention"` // of its log
}

// Peers says how entries find and trust each other.
type Peers struct {
	Seeds       []string `toml:"seeds"`     // IP and port of some, for a start while the log is down
	Advertise   string   `toml:"advertise"` // IP and port at which others reach this entry, empty for the one it listens at
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	Authority   string   `toml:"authority"`
	Insecure    bool     `toml:"insecure"` // no TLS between entries
}

// Limits bound what callers, targets and a stop may take.
type Limits struct {
	BodyBytes            int64             `toml:"body_bytes"`
	HeaderBytes          int               `toml:"header_bytes"`
	ReadTimeout          tomlfile.Duration `toml:"read_timeout"`
	MaxConnections       int               `toml:"connections"`        // of callers at once
	MaxTargetConnections int               `toml:"target_connections"` // to one target, from all entries
	TargetSlots          int               `toml:"target_slots"`       // of one target
	MaxEntries           int               `toml:"entries"`            // the most there are at once
	ShutdownDelay        tomlfile.Duration `toml:"withdraw"`           // from not ready to the end of listening
	StaleAfter           tomlfile.Duration `toml:"stale"`              // without log or peer, until not ready
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"`
}

// Token lets its bearer use the administration API.
type Token struct {
	Name   string `toml:"name"`
	Secret Secret `toml:"secret"`
	Team   string `toml:"team"` // empty for an operator of everything
}

// Secret is a text that is never shown.
type Secret string

// String hides the secret.
func (s Secret) String() string { return "***" }

// GoString hides the secret.
func (s Secret) GoString() string { return "***" }

// MarshalText hides the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte("***"), nil }

// Default returns the settings that a file need not state.
func Default() Settings {
	return Settings{
		Platform: Platform{Retention: tomlfile.Duration(24 * time.Hour)},
		Limits: Limits{
			BodyBytes:            10 << 20,
			HeaderBytes:          32 << 10,
			ReadTimeout:          tomlfile.Duration(10 * time.Second),
			MaxConnections:       4096,
			MaxTargetConnections: 64,
			TargetSlots:          8,
			MaxEntries:           9,
			ShutdownDelay:        tomlfile.Duration(time.Second),
			StaleAfter:           tomlfile.Duration(30 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// MaxIdleConns returns how many idle connections one entry may keep to a target:
// its share of what the target's slots leave.
func (l Limits) MaxIdleConns() int {
	if l.MaxEntries == 0 {
		return 0
	}
	return max((l.MaxTargetConnections-l.TargetSlots)/l.MaxEntries, 0)
}

// Parse reads and checks settings and returns all that is wrong with them.
func Parse(name, data string) (Settings, tomlfile.Problems) {
	s := Default()
	problems, isTOML := tomlfile.Decode(name, data, &s)
	if !isTOML {
		return s, problems
	}
	c := checker{file: name, locator: tomlfile.NewLocator(data)}
	c.check(s)
	return s, problems.Merge(c.problems)
}
