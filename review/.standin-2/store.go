// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeTime is how long a call to the store takes, and an append on its partition.
const storeTime = 4 * time.Millisecond

// Limits of one page of newest records.
const (
	pageItems = 500
	pageBytes = 1 << 20
	readBytes = 1 << 20
)

// record is one record of a partition.
type record struct {
	key   string
	value []byte
}

// partition is one partition of a topic.
type partition struct {
	turn     sync.Mutex // held by the append that is being made
	log      []record
	newest   map[string]int // offset of the newest record of each key that has a value
	epoch    uint64
	sequence uint64
	answers  map[uint64][2]int // offset and end of the last appends, by sequence
	changed  chan struct{}
}

// store is the platform's store.
type store struct {
	mu     sync.Mutex
	parts  map[string]*partition
	silent bool // it answers no call
}

func newStore() *store { return &store{parts: make(map[string]*partition)} }

// part returns a partition. The lock is held.
func (s *store) part(topic, part string) *partition {
	name := topic + "/" + part
	if s.parts[name] == nil {
		s.parts[name] = &partition{newest: make(map[string]int), answers: make(map[uint64][2]int), changed: make(chan struct{})}
	}
	return s.parts[name]
}

// add appends records and returns the offset of the first. The lock is held.
func (p *partition) add(records []record) int {
	first := len(p.log)
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = len(p.log)
		}
		p.log = append(p.log, r)
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return first
}

// write appends a record as the platform, a worker or the operator does.
func (s *store) write(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add([]record{{key, data}})
}

// setSilent makes the store answer no call, or answer again.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// hang keeps a call without an answer until its caller has given up.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// ServeHTTP handles one call. An answer that becomes due while the store is silent is lost.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		hang(r)
	}
	time.Sleep(storeTime)
	status, body := s.handle(r)
	if s.isSilent() {
		hang(r)
	}
	if raw, is := body.([]byte); is {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.WriteHeader(status)
		_, _ = w.Write(raw)
		return
	}
	reply(w, status, body)
}

func (s *store) handle(r *http.Request) (int, any) {
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		return s.append(r)
	case "GET /api/log-read":
		return s.read(r)
	case "GET /api/log-newest":
		return s.newestPage(r)
	}
	return http.StatusNotFound, map[string]any{}
}

// number returns a number of the query, 0 if it is missing.
func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

// decodeRecords decodes the records of a keyed topic.
func decodeRecords(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || int(body[4])+1 > size {
			return nil, false
		}
		one := body[4 : 4+size]
		key := 1 + int(one[0])
		records = append(records, record{string(one[1:key]), append([]byte(nil), one[key:]...)})
		body = body[4+size:]
	}
	return records, true
}

func (s *store) append(r *http.Request) (int, any) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	records, valid := decodeRecords(body)
	if !valid {
		return http.StatusBadRequest, map[string]any{}
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(storeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Get("topic") == "keyed.servers" {
		return http.StatusForbidden, map[string]any{}
	}
	if q.Has("at") && number(r, "at") != uint64(len(p.log)) {
		return http.StatusPreconditionFailed, map[string]any{"end": len(p.log)}
	}
	if q.Has("producer") {
		epoch, sequence := number(r, "epoch"), number(r, "Sequence")
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"Reason": "fenced"}
		case epoch > p.epoch:
			p.epoch = epoch
			p.answers = make(map[uint64][2]int)
		case len(records) == 0:
		default:
			if a, has := p.answers[sequence]; has {
				return http.StatusOK, map[string]any{"offset": a[0], "end": a[1]}
			}
			if sequence != p.sequence+1 {
				return http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": p.sequence + 1}
			}
		}
		if len(records) > 0 {
			p.sequence = sequence
			first := p.add(records)
			p.answers[sequence] = [2]int{first, len(p.log)}
			delete(p.answers, sequence-5)
			return http.StatusOK, map[string]any{"offset": first, "end": len(p.log)}
		}
		return http.StatusOK, map[string]any{"offset": len(p.log), "end": len(p.log)}
	}
	first := p.add(records)
	return http.StatusOK, map[string]any{"offset": first, "end": len(p.log)}
}

func (s *store) read(r *http.Request) (int, any) {
	q := r.URL.Query()
	from := int(number(r, "From"))
	until := time.After(time.Duration(number(r, "WaitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		body := binary.BigEndian.AppendUint64(nil, uint64(len(p.log)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i := from; i < len(p.log) && len(body) < readBytes; i++ {
			o := p.log[i]
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(o.key)+len(o.value)))
			body = append(append(append(body, byte(len(o.key))), o.key...), o.value...)
		}
		changed, has := p.changed, from < len(p.log)
		s.mu.Unlock()
		if has || number(r, "WaitMs") == 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-until:
			return http.StatusOK, body
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) newestPage(r *http.Request) (int, any) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("After") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		v := base64.StdEncoding.EncodeToString(p.log[p.newest[k]].value)
		if len(items) == pageItems || len(items) > 0 && size+len(v) > pageBytes {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"Key": k, "Value": v, "offset": p.newest[k]})
	}
	return http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.log)}
}

// reply writes a body as JSON.
func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// sleep waits, and reports whether the context is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
