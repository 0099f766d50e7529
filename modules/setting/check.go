// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// Limits of setting values.
const (
	minSecret      = 16
	maxBodyBytes   = 1 << 30
	maxHeaderBytes = 1 << 20
	maxConnections = 1 << 20
	maxEntries     = 1000
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	levels      = []string{"debug", "info", "warn", "error"}
)

// checker collects the problems of one file.
type checker struct {
	file     string
	locator  tomlfile.Locator
	problems tomlfile.Problems
}

func (c *checker) addProblem(table string, index int, key, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{
		File:    c.file,
		Line:    c.locator.Line(table, index, key),
		Key:     table + "." + key,
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) check(s Settings) {
	c.checkName("entry", "name", s.Entry.Name)
	c.checkName("entry", "hall", s.Entry.Hall)
	c.checkListen(s.Listen)
	c.checkPlatform(s.Platform)
	c.checkPeers(s.Peers)
	c.checkAdvertised(s)
	c.checkLimits(s.Limits)
	if !slices.Contains(levels, s.Log.Level) {
		c.addProblem("log", 0, "level", "%q is not allowed; allowed are %s", s.Log.Level, strings.Join(levels, ", "))
	}
	c.checkTokens(s.Tokens)
}

func (c *checker) checkName(table, key, value string) {
	if value == "" {
		c.addProblem(table, 0, key, "missing")
		return
	}
	if !namePattern.MatchString(value) {
		c.addProblem(table, 0, key, "%q is not allowed; a name has 1 to 63 lower-case letters, digits and inner hyphens", value)
	}
}

func (c *checker) checkListen(l Listen) {
	seen := make(map[string]string)
	for _, a := range []struct{ key, value string }{
		{"callers", l.Callers}, {"admin", l.Admin}, {"peers", l.Peers},
	} {
		c.checkAddress("listen", a.key, a.value)
		if other, ok := seen[a.value]; ok && a.value != "" && !strings.HasSuffix(a.value, ":0") {
			c.addProblem("listen", 0, a.key, "%s conflicts with listen.%s; each listener needs its own address", a.value, other)
		}
		seen[a.value] = a.key
	}
}

func (c *checker) checkAddress(table, key, value string) {
	if value == "" {
		c.addProblem(table, 0, key, "missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(table, 0, key, "%q is not an IP address and port; allowed is one such as 10.0.0.1:7000", value)
	}
}

func (c *checker) checkPlatform(p Platform) {
	if p.URL == "" {
		c.addProblem("platform", 0, "url", "missing")
	} else if u, err := url.Parse(p.URL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.addProblem("platform", 0, "url", "%q is not a URL; allowed is one such as http://10.0.0.1:7700", p.URL)
	}
	c.checkMin("platform", "retention", p.Retention, time.Minute)
}

func (c *checker) checkPeers(p Peers) {
	for _, seed := range p.Seeds {
		c.checkAddress("peers", "seeds", seed)
	}
	files := []struct{ key, value string }{
		{"certificate", p.Certificate}, {"key", p.Key}, {"authority", p.Authority},
	}
	for _, f := range files {
		switch {
		case p.Insecure && f.value != "":
			c.addProblem("peers", 0, f.key, "conflicts with peers.insecure = true")
		case !p.Insecure && f.value == "":
			c.addProblem("peers", 0, f.key, "missing; without key files, peers.insecure = true is required")
		}
	}
}

// checkAdvertised rejects an address at which other entries cannot reach this one.
func (c *checker) checkAdvertised(s Settings) {
	if s.Peers.Advertise != "" {
		c.checkAddress("peers", "advertise", s.Peers.Advertise)
		return
	}
	if a, err := netip.ParseAddrPort(s.Listen.Peers); err == nil && a.Addr().IsUnspecified() {
		c.addProblem("listen", 0, "peers", "other entries cannot reach %s; allowed is an address of this instance, or any with peers.advertise", s.Listen.Peers)
	}
}

func (c *checker) checkLimits(l Limits) {
	c.checkLimit("body_bytes", l.BodyBytes, 1, maxBodyBytes)
	c.checkLimit("header_bytes", int64(l.HeaderBytes), 1<<10, maxHeaderBytes)
	c.checkLimit("connections", int64(l.MaxConnections), 1, maxConnections)
	c.checkLimit("target_slots", int64(l.TargetSlots), 1, maxConnections)
	c.checkLimit("target_connections", int64(l.MaxTargetConnections), int64(l.TargetSlots), maxConnections)
	c.checkLimit("entries", int64(l.MaxEntries), 1, maxEntries)
	c.checkMin("limits", "read_timeout", l.ReadTimeout, 100*time.Millisecond)
	c.checkMin("limits", "withdraw", l.ShutdownDelay, 0)
	c.checkMin("limits", "stale", l.StaleAfter, time.Second)
}

func (c *checker) checkLimit(key string, value, low, high int64) {
	if value < low || value > high {
		c.addProblem("limits", 0, key, "%d is not allowed; allowed is %d to %d", value, low, high)
	}
}

func (c *checker) checkMin(table, key string, value tomlfile.Duration, low time.Duration) {
	if value.Std() < low {
		c.addProblem(table, 0, key, "%s is not allowed; allowed is %s and above", value.Std(), low)
	}
}

func (c *checker) checkTokens(tokens []Token) {
	if len(tokens) == 0 {
		c.addProblem("token", 0, "name", "missing; at least one [[token]] is needed to administer the entry")
	}
	secrets := make(map[Secret]bool)
	for i, t := range tokens {
		if t.Name == "" {
			c.addProblem("token", i, "name", "missing")
		}
		if len(t.Secret) < minSecret {
			c.addProblem("token", i, "secret", "has %d characters; allowed is %d and more", len(t.Secret), minSecret)
		}
		if secrets[t.Secret] {
			c.addProblem("token", i, "secret", "is the same as that of another token")
		}
		secrets[t.Secret] = true
	}
}
