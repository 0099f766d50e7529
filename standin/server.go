// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/yardbridge/yardbridge/adapters/platformhttp"
	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/platform"
)

// maxBody bounds the body of a request to the stand-in.
const maxBody = 16 << 20

// Server serves the stand-in over HTTP.
type Server struct {
	Log      *Log
	Platform *Platform
	Targets  map[string]*Target // by worker
}

// Handler returns the stand-in's routes; those under /control inject failures.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/append", s.handleAppend)
	mux.HandleFunc("GET /log/read", s.handleRead)
	mux.HandleFunc("GET /instances", s.handleList)
	mux.HandleFunc("GET /tasks", s.handleTasks)
	mux.HandleFunc("POST /workers/{id}/reboot", s.handleReboot)
	mux.HandleFunc("POST /workers/{id}/start", withBody(s.start))
	mux.HandleFunc("POST /workers/{id}/renew", withBody(s.renew))
	mux.HandleFunc("POST /workers/{id}/stop", withBody(s.stop))
	mux.HandleFunc("POST /workers/{id}/throttle", withBody(s.throttle))
	mux.HandleFunc("POST /control/log", withBody(s.setLogFaults))
	mux.HandleFunc("POST /control/workers/{id}/condition/{condition}", s.handleCondition)
	mux.HandleFunc("POST /control/entries/{name}/{listed}", s.handleEntry)
	mux.HandleFunc("POST /control/targets/{id}/faults", withBody(s.setTargetFaults))
	mux.HandleFunc("GET /control/targets/{id}/journal", s.handleJournal)
	return mux
}

// reply responds with JSON, or with the response for an error.
func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		errkind.Write(w, "", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the caller has gone away.
	_ = json.NewEncoder(w).Encode(v)
}

func read[T any](r *http.Request) (T, error) {
	var v T
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&v)
	if err != nil {
		return v, errkind.New(errkind.BadRequest, "body: %v", err)
	}
	return v, nil
}

// cutOff reports whether the calling process is cut off from the log.
func (s *Server) cutOff(r *http.Request) bool {
	name := r.Header.Get(platformhttp.HeaderClient)
	return name != "" && s.Log.Faults().CutOff == name
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	if s.cutOff(r) {
		reply(w, nil, unavailable())
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		reply(w, nil, errkind.New(errkind.BadRequest, "body: %v", err))
		return
	}
	offset, err := s.Log.Append(r.Context(), data)
	reply(w, platformhttp.AppendResponse{Offset: offset}, err)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	if s.cutOff(r) {
		reply(w, nil, unavailable())
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		reply(w, nil, errkind.New(errkind.BadRequest, "from: %v", err))
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		reply(w, nil, errkind.New(errkind.BadRequest, "wait: %v", err))
		return
	}
	page, err := s.Log.Read(r.Context(), from, wait)
	if err != nil {
		reply(w, nil, err)
		return
	}
	data, err := codec.Marshal(platformhttp.NewPage(page))
	if err != nil {
		reply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

// knownRevision returns the revision that the caller of a list already has, 0 for none.
func knownRevision(r *http.Request) uint64 {
	known, _ := strconv.ParseUint(r.URL.Query().Get("newer-than"), 10, 64) // a missing revision requests everything
	return known
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	l, err := s.Platform.list(r.Context(), knownRevision(r))
	reply(w, l, err)
}

func (s *Server) handleTasks(w http.ResponseWriter, r *http.Request) {
	l, err := s.Platform.reports(r.Context(), knownRevision(r))
	reply(w, l, err)
}

func (s *Server) handleReboot(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.Platform.reboot(r.Context(), r.PathValue("id")))
}

// withBody decodes a request's JSON body, passes it to act and responds.
func withBody[T any](act func(r *http.Request, body T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := read[T](r)
		if err == nil {
			err = act(r, body)
		}
		reply(w, struct{}{}, err)
	}
}

func (s *Server) start(r *http.Request, t platform.Task) error {
	return s.Platform.startTask(r.Context(), t)
}

func (s *Server) renew(r *http.Request, b platformhttp.RenewRequest) error {
	return s.Platform.renewTasks(r.Context(), r.PathValue("id"), b.IDs, b.LeaseTTL)
}

func (s *Server) stop(r *http.Request, b platformhttp.StopRequest) error {
	return s.Platform.stopTask(r.Context(), r.PathValue("id"), b.ID, b.Checkpoint)
}

func (s *Server) throttle(r *http.Request, b platformhttp.ThrottleRequest) error {
	return s.Platform.throttleTask(r.Context(), r.PathValue("id"), b.ID, b.Cores)
}

func (s *Server) setLogFaults(_ *http.Request, f LogFaults) error {
	s.Log.SetFaults(f)
	return nil
}

func (s *Server) setTargetFaults(r *http.Request, f TargetFaults) error {
	t, err := s.target(r)
	if err != nil {
		return err
	}
	t.SetFaults(f)
	return nil
}

func (s *Server) handleCondition(w http.ResponseWriter, r *http.Request) {
	err := s.Platform.SetCondition(r.PathValue("id"), fleet.Condition(r.PathValue("condition")))
	reply(w, struct{}{}, err)
}

func (s *Server) handleEntry(w http.ResponseWriter, r *http.Request) {
	s.Platform.SetEntry(r.PathValue("name"), r.PathValue("listed") == "listed")
	reply(w, struct{}{}, nil)
}

func (s *Server) target(r *http.Request) (*Target, error) {
	t, ok := s.Targets[r.PathValue("id")]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "unknown target %s", r.PathValue("id"))
	}
	return t, nil
}

func (s *Server) handleJournal(w http.ResponseWriter, r *http.Request) {
	t, err := s.target(r)
	if err != nil {
		reply(w, nil, err)
		return
	}
	reply(w, t.Stats(), nil)
}
