//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log with keyed topics (PROTOCOL.md, "The
// platform's metadata store"). Every answer is linearizable.
type store struct {
	rec *recorder

	mu       sync.Mutex
	parts    map[string]*partition
	tooLarge int // appends that were refused for their size
}

type record struct {
	key    string
	value  []byte
	offset uint64
}

type answer struct {
	sequence    uint64
	offset, end uint64
}

type partition struct {
	log      []record
	newest   map[string]record
	epoch    uint64
	sequence uint64
	answers  []answer      // of the last five appends of the producer
	changed  chan struct{} // closed at the next append
	free     time.Time     // when the appends that wait have been taken
}

// The limits that the settings of a small site state.
const (
	appendTime  = 4 * time.Millisecond
	recordBytes = 262144
	callBytes   = 2097152
)

func newStore(rec *recorder) *store { return &store{rec: rec, parts: make(map[string]*partition)} }

// noteTooLarge counts an append that is refused for its size, and records the first one.
func (s *store) noteTooLarge(topic, index string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tooLarge++; s.tooLarge == 1 {
		s.rec.log("store: refuses an append of %d bytes to %s/%s: a record is over %d bytes", bytes, topic, index, recordBytes)
	}
}

// part returns a partition. The lock is held.
func (s *store) part(topic, index string) *partition {
	at := topic + "/" + index
	if s.parts[at] == nil {
		s.parts[at] = &partition{newest: make(map[string]record), changed: make(chan struct{})}
	}
	return s.parts[at]
}

// put appends one record as the operator or a worker does, and returns once it is acknowledged.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add([]record{{key: key, value: data}})
}

// add appends records. The store's lock is held.
func (p *partition) add(records []record) (offset, end uint64) {
	offset = uint64(len(p.log))
	for _, r := range records {
		r.offset = uint64(len(p.log))
		p.log = append(p.log, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return offset, uint64(len(p.log))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r)
	case "GET /api/log-read":
		s.read(w, r)
	case "GET /api/log-newest":
		s.readNewest(w, r)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

// decode splits a body into records; it reports whether they are within the limits.
func decode(body []byte, keyed bool) ([]record, bool) {
	if len(body) > callBytes {
		return nil, false
	}
	var records []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > len(body) || size > recordBytes {
			return nil, false
		}
		one := slices.Clone(body[:size])
		body = body[size:]
		if !keyed {
			records = append(records, record{value: one})
			continue
		}
		if size < 1 || int(one[0]) >= size {
			return nil, false
		}
		records = append(records, record{key: string(one[1 : 1+one[0]]), value: one[1+int(one[0]):]})
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.servers" {
		reply(w, http.StatusForbidden, nil)
		return
	}
	records, valid := decode(body, strings.HasPrefix(topic, "keyed."))
	if !valid {
		s.noteTooLarge(topic, q.Get("part"), len(body))
		reply(w, http.StatusBadRequest, map[string]string{"Reason": "size"})
		return
	}
	s.mu.Lock()
	p := s.part(topic, q.Get("part"))
	now := time.Now()
	p.free = maxTime(p.free, now).Add(appendTime)
	wait := p.free.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(p.log))
	if q.Has("at") && number(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	if !q.Has("producer") {
		offset, end := p.add(records)
		reply(w, http.StatusOK, map[string]uint64{"offset": offset, "end": end})
		return
	}
	epoch, sequence := number(r, "epoch"), number(r, "Sequence")
	switch {
	case epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
		return
	case epoch > p.epoch:
		p.epoch, p.sequence, p.answers = epoch, sequence-1, nil
	}
	for _, a := range p.answers {
		if a.sequence == sequence {
			reply(w, http.StatusOK, map[string]uint64{"offset": a.offset, "end": a.end})
			return
		}
	}
	if sequence != p.sequence+1 {
		reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": p.sequence + 1})
		return
	}
	if len(records) == 0 {
		reply(w, http.StatusOK, map[string]uint64{"offset": end, "end": end})
		return
	}
	p.sequence = sequence
	offset, end := p.add(records)
	if p.answers = append(p.answers, answer{sequence, offset, end}); len(p.answers) > 5 {
		p.answers = p.answers[1:]
	}
	reply(w, http.StatusOK, map[string]uint64{"offset": offset, "end": end})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(r, "From")
	keyed := strings.HasPrefix(q.Get("topic"), "keyed.")
	limit := int(number(r, "max_kb")) << 10
	if limit == 0 {
		limit = 1 << 20
	}
	timeout := time.After(time.Duration(number(r, "WaitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		changed := p.changed
		end := uint64(len(p.log))
		if from < end || !q.Has("WaitMs") {
			body := binary.BigEndian.AppendUint64(nil, end)
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, o := range p.log[min(from, end):] {
				if len(body) > limit {
					break
				}
				if keyed {
					body = binary.BigEndian.AppendUint32(body, uint32(1+len(o.key)+len(o.value)))
					body = append(body, byte(len(o.key)))
					body = append(body, o.key...)
				} else {
					body = binary.BigEndian.AppendUint32(body, uint32(len(o.value)))
				}
				body = append(body, o.value...)
			}
			s.mu.Unlock()
			time.Sleep(appendTime)
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			q.Del("WaitMs")
			timeout = nil
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(appendTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("After") || !q.Has("After") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		o := p.newest[k]
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		size += len(o.value)
		items = append(items, map[string]any{"Key": o.key, "Value": o.value, "offset": o.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.log)})
}
