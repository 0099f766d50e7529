// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// Settings holds all settings of an entry process.
type Settings struct {
	Entry    Entry    `toml:"entry"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
	Tokens   []Token  `toml:"token"`
}

// Entry identifies the process and its location.
type Entry struct {
	Name       string `toml:"name"`
	Hall       string `toml:"hall"`
	DataCenter string `toml:"data_center"`
}

// Listen holds the addresses on which an entry listens.
type Listen struct {
	Callers string `toml:"callers"`
	Admin   string `toml:"admin"`
	Peers   string `toml:"peers"`
}

// Platform describes the platform.
type Platform struct {
	URL       string            `toml:"url"`
	Retention tomlfile.Duration `toml:"retention"` // of its log
}

// Peers configures how entries find and authenticate each other.
type Peers struct {
	Seeds       []string `toml:"seeds"`     // IP and port of some entries, used if the log is down at the start
	Advertise   string   `toml:"advertise"` // IP and port at which others reach this entry, empty for the listen address
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	Authority   string   `toml:"authority"`
	Insecure    bool     `toml:"insecure"` // no TLS between entries
}

// Limits bound the resources of callers and targets and the time of a shutdown.
type Limits struct {
	BodyBytes            int64             `toml:"body_bytes"`
	HeaderBytes          int               `toml:"header_bytes"`
	ReadTimeout          tomlfile.Duration `toml:"read_timeout"`
	MaxConnections       int               `toml:"connections" json:"Connections"`              // open connections of callers
	MaxTargetConnections int               `toml:"target_connections" json:"TargetConnections"` // to one target, from all entries
	TargetSlots          int               `toml:"target_slots"`                                // of one target
	MaxEntries           int               `toml:"entries" json:"Entries"`                      // the most entries that run at the same time
	ShutdownDelay        tomlfile.Duration `toml:"withdraw" json:"Withdraw"`                    // from not ready until the listener is closed
	StaleAfter           tomlfile.Duration `toml:"stale" json:"Stale"`                          // time without log or peers after which the entry is not ready
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"`
}

// Token grants access to the administration API.
type Token struct {
	Name   string `toml:"name"`
	Secret Secret `toml:"secret"`
	Team   string `toml:"team"` // empty for an operator with access to everything
}

// Secret is a text that is never printed.
type Secret string

// String hides the secret.
func (s Secret) String() string { return "***" }

// GoString hides the secret.
func (s Secret) GoString() string { return "***" }

// MarshalText hides the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte("***"), nil }

// Default returns the default settings.
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

// MaxIdleConns returns how many idle connections one entry may keep to a target: its share
// of the connections that the target's slots leave.
func (l Limits) MaxIdleConns() int {
	if l.MaxEntries == 0 {
		return 0
	}
	return max((l.MaxTargetConnections-l.TargetSlots)/l.MaxEntries, 0)
}

// Parse parses and checks settings and returns all problems.
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
