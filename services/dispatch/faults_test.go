// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/modules/oncekey"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
	"github.com/yardbridge/yardbridge/services/once"
	"github.com/yardbridge/yardbridge/services/outlier"
	"github.com/yardbridge/yardbridge/services/slots"
	"github.com/yardbridge/yardbridge/standin"
)

// faultCase is one case of testdata/faults.toml.
type faultCase struct {
	Name       string `toml:"name"`
	Service    string `toml:"service"`
	Method     string `toml:"method"`
	First      string `toml:"first"`
	Second     string `toml:"second"`
	Timeout    string `toml:"timeout"`
	Keyed      bool   `toml:"keyed"`
	Repeat     bool   `toml:"repeat"` // send the request again and check that response
	Mended     bool   `toml:"mended"` // repair the targets and send the request again
	LogDown    bool   `toml:"log_down"`
	BodyBytes  int    `toml:"body_bytes"`
	Want       int    `toml:"want"`
	Outcome    string `toml:"outcome"`
	Kind       string `toml:"kind"`
	RetryAfter bool   `toml:"retry_after"`
	Sends      int    `toml:"sends"`
}

// testDispatcher is a dispatcher with two targets and an in-memory log.
type testDispatcher struct {
	d       *Dispatcher
	server  *httptest.Server
	targets [2]*standin.Target

	mu      sync.Mutex
	state   state.State
	seq     uint64
	logDown bool

	closed map[string]bool // addresses that refuse connections; changed only between requests

	beforeLending func(slots.Exchange) // called before the lender handles an exchange, nil for nothing
}

const entryName = "e1"

func newTestDispatcher(t *testing.T) *testDispatcher {
	t.Helper()
	b := &testDispatcher{}
	var addresses []string
	for i := range b.targets {
		b.targets[i] = &standin.Target{Name: fmt.Sprintf("w%d", i)}
		address, err := b.targets[i].Listen("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = b.targets[i].Close() })
		addresses = append(addresses, address)
	}
	b.closed = make(map[string]bool)
	b.declare(addresses)
	b.build(t)
	b.d.dial = b.dial
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		b.d.Serve(w, r, service, "/"+path)
	}))
	t.Cleanup(b.server.Close)
	return b
}

// declare appends a service with targets at the addresses to the log.
func (b *testDispatcher) declare(addresses []string) {
	b.put(record.Record{Join: &record.Join{}})
	for i, address := range addresses {
		b.put(record.Record{ListUpdate: &record.ListUpdate{Revision: uint64(i + 1), Workers: []fleet.Worker{{
			ID: fmt.Sprintf("w%d", i), Address: address, Slots: 2, Condition: fleet.Live,
		}}}})
	}
	service := manifest.Service{Name: "svc", Team: "t", Pool: "p", Class: manifest.Interactive, QueueLength: 10, Repeatable: []string{http.MethodGet}}
	service.Deadline = tomlfile.Duration(5 * time.Second)
	b.put(record.Record{Apply: &record.Apply{Deployment: "d", Put: []manifest.Object{
		{Team: &manifest.Team{Name: "t"}}, {Pool: &manifest.Pool{Name: "p", Team: "t", Size: 2}}, {Service: &service},
	}}})
	for i := range addresses {
		instance, _ := b.State().Instances.Get(fmt.Sprintf("w%d", i))
		b.put(record.Record{Move: &record.Move{Worker: instance.Worker.ID, Version: instance.Version, To: "p"}})
	}
}

func (b *testDispatcher) build(t *testing.T) {
	t.Helper()
	lender := &slots.Lender{Name: entryName, Notify: func(string, slots.Notification) {}}
	holder := &slots.Holder{Name: entryName, Cost: func(worker string, _ int) float64 { return float64(worker[1]) }}
	exchanger := &slots.Exchanger{Holder: holder, Incarnation: 1, Call: func(_ context.Context, _ string, x slots.Exchange) (slots.ExchangeResponse, error) {
		if b.beforeLending != nil {
			b.beforeLending(x)
		}
		return lender.Exchange(x), nil
	}}
	holder.RequestExchange = exchanger.RequestExchange
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go exchanger.Run(ctx)
	lender.Update(b.State())
	holder.Update(b.State())
	service := &once.Service{Ledger: once.Proposer{Propose: b.propose, State: b.State}}
	b.d = &Dispatcher{State: b.State, Holder: holder, Outliers: &outlier.Detector{}, Once: service, Metrics: metrics.New(), MaxBody: 4000}
}

// State returns the folded state.
func (b *testDispatcher) State() state.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

func (b *testDispatcher) put(records ...record.Record) []state.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	data, err := record.Batch{Writer: entryName, Incarnation: 1, Sequence: b.seq, Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	f := b.state.Fold(record.Stored{Offset: b.state.Offset, At: time.Now(), Data: data})
	b.state = f.State
	return f.Verdicts
}

func (b *testDispatcher) propose(ctx context.Context, records []record.Record, _ func([]state.Verdict)) ([]state.Verdict, error) {
	if b.logDown {
		<-ctx.Done()
		return nil, errkind.New(errkind.LogUnavailable, "down")
	}
	return b.put(records...), nil
}

func (b *testDispatcher) setFaults(t *testing.T, target int, fault string) {
	t.Helper()
	switch fault {
	case "":
		b.targets[target].SetFaults(standin.TargetFaults{})
	case "closed":
		b.closed[b.address(target)] = true
	default:
		b.targets[target].SetFaults(standin.TargetFaults{
			Fail: fault == "fail", Truncate: fault == "cut", Garbage: fault == "garbage", WrongID: fault == "swap", Hang: fault == "hang",
		})
	}
}

func (b *testDispatcher) send(t *testing.T, c faultCase, key string) (*http.Response, string) {
	t.Helper()
	service := c.Service
	if service == "" {
		service = "svc"
	}
	r, err := http.NewRequest(c.Method, b.server.URL+"/"+service+"/x", bytes.NewReader(make([]byte, c.BodyBytes)))
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set(HeaderIdempotencyKey, key)
	}
	if c.Timeout != "" {
		r.Header.Set(HeaderTimeout, c.Timeout)
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

// waitForResult waits until the keyed request has recorded its result.
func (b *testDispatcher) waitForResult(key string) {
	for {
		c, taken := b.State().Claim(key)
		if !taken || c.Ended {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestFaults(t *testing.T) {
	var cases struct {
		Case []faultCase `toml:"case"`
	}
	data, err := os.ReadFile("testdata/faults.toml")
	assert.NilError(t, err)
	md, err := toml.Decode(string(data), &cases)
	assert.NilError(t, err)
	assert.Equal(t, len(md.Undecoded()), 0, "%v", md.Undecoded())
	for _, c := range cases.Case {
		t.Run(c.Name, func(t *testing.T) { newTestDispatcher(t).runCase(t, c) })
	}
}

func (b *testDispatcher) runCase(t *testing.T, c faultCase) {
	b.setFaults(t, 0, c.First)
	b.setFaults(t, 1, c.Second)
	b.logDown = c.LogDown
	key := ""
	if c.Keyed {
		key = oncekey.New(time.Now().Add(time.Hour))
	}
	response, body := b.send(t, c, key)
	if c.Repeat || c.Mended {
		b.waitForResult(key)
		if c.Mended {
			clear(b.closed)
		}
		response, body = b.send(t, c, key)
	}
	assert.Equal(t, response.StatusCode, c.Want, body)
	assert.Equal(t, response.Header.Get(errkind.HeaderOutcome), c.Outcome)
	assert.Equal(t, response.Header.Get(errkind.HeaderKind), c.Kind)
	assert.Equal(t, response.Header.Get("Retry-After") != "", c.RetryAfter)
	if c.Want == http.StatusOK {
		assert.Assert(t, strings.Contains(body, "id="), body)
	}
	sends := 0
	for _, target := range b.targets {
		sends += target.Stats().Requests
	}
	assert.Equal(t, sends, c.Sends)
}

// TestRetryWaitsForSecondTarget checks that a retry goes to the second target even if that target's
// slot is lent only after the slot of the first one, on which the request failed, is free again.
func TestRetryWaitsForSecondTarget(t *testing.T) {
	b := newTestDispatcher(t)
	b.setFaults(t, 0, "cut")
	b.beforeLending = func(slots.Exchange) {
		for b.targets[0].Stats().Requests == 1 && b.inUse("w0") > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	response, body := b.send(t, faultCase{Method: http.MethodGet}, "")
	assert.Equal(t, response.StatusCode, http.StatusOK, body)
	assert.Equal(t, b.targets[0].Stats().Requests, 1, "retried on the target that has just failed")
	assert.Equal(t, b.targets[1].Stats().Requests, 1)
}

// TestNotRunIsNotReportedAfterATargetGotTheRequest checks that a request whose retry gets no slot
// is not reported as not run, since the previous attempt has reached a target.
func TestNotRunIsNotReportedAfterATargetGotTheRequest(t *testing.T) {
	for _, c := range []faultCase{
		{First: "cut", Want: http.StatusGatewayTimeout, Outcome: string(errkind.Unknown)},
		{First: "fail", Want: http.StatusInternalServerError, Outcome: string(errkind.Ran)},
	} {
		b := newTestDispatcher(t)
		b.setFaults(t, 0, c.First)
		b.beforeLending = func(slots.Exchange) {
			if b.targets[0].Stats().Requests > 0 {
				b.d.Holder.MarkLeaving([]string{"w0", "w1"})
			}
		}
		c.Method, c.Timeout = http.MethodGet, "300ms"
		response, body := b.send(t, c, "")
		assert.Equal(t, b.targets[0].Stats().Requests, 1)
		assert.Equal(t, response.Header.Get(errkind.HeaderOutcome), c.Outcome, "%s: %s", c.First, body)
		assert.Equal(t, response.StatusCode, c.Want, "%s: %s", c.First, body)
	}
}

// inUse returns the number of slots of a worker that are in use.
func (b *testDispatcher) inUse(worker string) int {
	held, _ := b.d.Holder.Dump()
	for _, h := range held {
		if h.Worker == worker {
			return h.InUse
		}
	}
	return 0
}

// refusingAddress is an address without a listener. The port of a closed target may be assigned to
// another process immediately; port 1 is reserved for tcpmux and is never assigned that way.
const refusingAddress = "127.0.0.1:1"

// dial connects to a target; for a closed one it connects to an address at which the kernel refuses
// the connection.
func (b *testDispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if b.closed[address] {
		address = refusingAddress
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// address returns the address at which a target listens.
func (b *testDispatcher) address(target int) string {
	instance, _ := b.State().Instances.Get(fmt.Sprintf("w%d", target))
	return instance.Worker.Address
}

// TestTruncatedResponseIsNotComplete checks that the caller gets an error if the target truncates a
// long response.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	b := newTestDispatcher(t)
	response, err := http.Get(b.server.URL + "/svc/x?stream=100000")
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, 10))
	assert.NilError(t, err)
	for _, target := range b.targets {
		_ = target.Close()
	}
	_, err = io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil, "the response was truncated and the caller got no error")
}
