// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/binary"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is what a partition takes for each append (append_ms).
const appendTime = 4 * time.Millisecond

// answer is the answer to an append of a producer.
type answer struct{ sequence, offset, end uint64 }

// producer is what a partition knows of a producer.
type producer struct {
	epoch   uint64
	answers []answer // the last five of the epoch
}

// newest is the newest record of a key.
type newest struct {
	value  []byte
	offset uint64
}

// partition is one partition of a topic.
type partition struct {
	appending sync.Mutex // appends are taken in turn

	mu        sync.Mutex
	keyed     bool
	records   [][]byte // raw, without their lengths
	keys      map[string]newest
	producers map[string]*producer
	grown     chan struct{} // closed at the next append
}

// store is the platform's metadata store.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
}

func (s *store) partition(topic, index string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := topic + "/" + index
	p := s.partitions[at]
	if p == nil {
		p = &partition{keyed: strings.HasPrefix(topic, "keyed."), keys: make(map[string]newest), producers: make(map[string]*producer), grown: make(chan struct{})}
		s.partitions[at] = p
	}
	return p
}

// put writes a record of the operator or of a worker; no value removes the key.
func (s *store) put(topic, key string, value []byte) {
	p := s.partition(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(append(append([]byte{byte(len(key))}, key...), value...))
	p.announce()
}

// add adds a raw record. The lock is held.
func (p *partition) add(raw []byte) {
	offset := uint64(len(p.records))
	p.records = append(p.records, raw)
	if !p.keyed {
		return
	}
	key := string(raw[1 : 1+raw[0]])
	if value := raw[1+raw[0]:]; len(value) > 0 {
		p.keys[key] = newest{value, offset}
	} else {
		delete(p.keys, key)
	}
}

// announce wakes the readers that wait. The lock is held.
func (p *partition) announce() {
	close(p.grown)
	p.grown = make(chan struct{})
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64) // 0 if it is missing
	return n
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	p := s.partition(topic, strconv.FormatUint(number(r, "part"), 10))
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		if topic == "keyed.servers" {
			reply(w, http.StatusForbidden, nil)
			return
		}
		p.append(w, r)
	case "GET /api/log-newest":
		p.newest(w, q.Get("After"))
	case "GET /api/log-read":
		p.read(w, r)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

// split splits a body into raw records.
func split(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size == 0 || size > len(body)-4 || size > 262144 {
			return nil, false
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	return records, true
}

func (p *partition) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	records, valid := split(body)
	if !valid {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	q, end := r.URL.Query(), uint64(len(p.records))
	if q.Has("at") && number(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	a := answer{sequence: number(r, "Sequence"), offset: end, end: end + uint64(len(records))}
	if q.Has("producer") {
		o := p.producers[q.Get("producer")]
		if o == nil {
			o = &producer{}
			p.producers[q.Get("producer")] = o
		}
		epoch := number(r, "epoch")
		if epoch < o.epoch {
			reply(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		}
		if epoch > o.epoch {
			o.epoch, o.answers = epoch, nil
		}
		if len(records) > 0 {
			for _, known := range o.answers {
				if known.sequence == a.sequence {
					reply(w, http.StatusOK, map[string]any{"offset": known.offset, "end": known.end})
					return
				}
			}
			if n := len(o.answers); n > 0 && a.sequence != o.answers[n-1].sequence+1 {
				reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": o.answers[n-1].sequence + 1})
				return
			}
			if o.answers = append(o.answers, a); len(o.answers) > 5 {
				o.answers = o.answers[1:]
			}
		}
	}
	for _, raw := range records {
		p.add(raw)
	}
	if len(records) > 0 {
		p.announce()
	}
	reply(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
}

func (p *partition) newest(w http.ResponseWriter, after string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for k := range p.keys {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, more, size := []map[string]any{}, false, 0
	for _, k := range keys {
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		items = append(items, map[string]any{"Key": k, "Value": p.keys[k].value, "offset": p.keys[k].offset})
		size += len(p.keys[k].value)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": uint64(len(p.records))})
}

func (p *partition) read(w http.ResponseWriter, r *http.Request) {
	from, wait := number(r, "From"), time.Duration(number(r, "WaitMs"))*time.Millisecond
	timeout := time.After(wait)
	for waits := wait > 0; waits; {
		p.mu.Lock()
		grown := p.grown
		has := uint64(len(p.records)) > from
		p.mu.Unlock()
		if has {
			break
		}
		select {
		case <-grown:
		case <-timeout:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
	p.mu.Lock()
	body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, raw := range p.records[min(from, uint64(len(p.records))):] {
		if len(body) > 1<<20 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(raw)))
		body = append(body, raw...)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // the caller may have gone
}
