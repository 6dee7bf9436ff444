// Package backendtest is a small stand-in of a plain service's backend server.
//
// # Usage
//
//	srv := backendtest.New(backendtest.Config{Name: "kitchen-1"})
//	http.Serve(lis, srv.Handler())
//
// It answers every call with a JSON description of what it got, and lists
// every call it ever received under GET /standin/dispatches.
package backendtest

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lynxwell.dev/lynxwell/backend"
	"lynxwell.dev/lynxwell/engine"
)

// The paths of the stand-in's own switches.
const (
	// PathFaults takes Faults by POST.
	PathFaults = "/standin/faults"
	// PathLeaving takes a JSON boolean by POST.
	PathLeaving = "/standin/leaving"
	// PathDispatches answers GET with every call ever received.
	PathDispatches = "/standin/dispatches"
)

// Config holds what a Server is made from.
type Config struct {
	Name string
	// Work is how long a call takes.
	Work time.Duration
}

// Faults is what is wrong with the server for the time being.
type Faults struct {
	// Delay is added to every call.
	Delay time.Duration
	// DropReplies has that many calls run without a reply.
	DropReplies int
	// Dead ends every connection without a reply.
	Dead bool
}

// Echo is the answer to a call.
type Echo struct {
	Server string
	Method string
	Path   string
	Query  string
	Body   string
	Header http.Header
}

// Server is the stand-in.
type Server struct {
	cfg     Config
	mutex   sync.Mutex
	faults  Faults
	draining bool
	running int
	records []engine.DispatchRecord
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Dispatches returns every call ever received.
func (srv *Server) Dispatches() []engine.DispatchRecord {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return append([]engine.DispatchRecord(nil), srv.records...)
}

// SetFaults replaces what is wrong.
func (srv *Server) SetFaults(fau Faults) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.faults = fau
}

// SetLeaving has the server report that it leaves, or no longer leaves.
func (srv *Server) SetLeaving(leaving bool) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.draining = leaving
}

// Handler returns the HTTP handler.
func (srv *Server) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc(PathFaults, func(wri http.ResponseWriter, req *http.Request) {
		var fau Faults
		if decode(wri, req, &fau) {
			srv.SetFaults(fau)
		}
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathLeaving, func(wri http.ResponseWriter, req *http.Request) {
		var leaving bool
		if decode(wri, req, &leaving) {
			srv.SetLeaving(leaving)
		}
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathDispatches, func(wri http.ResponseWriter, _ *http.Request) {
		reply(wri, srv.Dispatches())
	}).Methods(http.MethodGet)
	rou.HandleFunc(engine.PathLoad, srv.serveLoad).Methods(http.MethodGet)
	rou.PathPrefix("/").HandlerFunc(srv.serveCall)
	return rou
}

func (srv *Server) serveLoad(wri http.ResponseWriter, _ *http.Request) {
	srv.mutex.Lock()
	loa := engine.Load{Running: srv.running, Leaving: srv.draining}
	srv.mutex.Unlock()
	reply(wri, loa)
}

func (srv *Server) serveCall(wri http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	fau := srv.begin(req)
	if fau.Dead {
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(srv.cfg.Work + fau.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
	}
	srv.finish()
	if fau.DropReplies > 0 {
		panic(http.ErrAbortHandler)
	}
	reply(wri, Echo{Server: srv.cfg.Name, Method: req.Method, Path: req.URL.Path, Query: req.URL.RawQuery, Body: string(body), Header: req.Header})
}

func (srv *Server) begin(req *http.Request) Faults {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	fau := srv.faults
	if fau.Dead {
		return fau
	}
	srv.running++
	srv.records = append(srv.records, engine.DispatchRecord{
		ID: req.Header.Get(backend.HeaderRequestID), Call: req.Method + " " + req.URL.Path, Finished: true,
	})
	if fau.DropReplies > 0 {
		srv.faults.DropReplies--
	}
	return fau
}

func (srv *Server) finish() {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.running--
}

func decode(wri http.ResponseWriter, req *http.Request, target any) bool {
	if err := json.NewDecoder(req.Body).Decode(target); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return false
	}
	wri.WriteHeader(http.StatusNoContent)
	return true
}

func reply(wri http.ResponseWriter, body any) {
	wri.Header().Set("Content-Type", "application/json")
	// A caller that has left can't be told anything more.
	_ = json.NewEncoder(wri).Encode(body)
}
