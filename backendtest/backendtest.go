// Package backendtest provides a fake backend server of a plain service.
//
// # Usage
//
//	srv := backendtest.New(backendtest.Config{Name: "kitchen-1"})
//	http.Serve(lis, srv.Handler())
//
// The server answers each call with an Echo of it as JSON, and lists the calls that it
// has run or is running at GET /standin/dispatches.
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

// The control paths of the fake server.
const (
	// PathFaults takes Faults by POST.
	PathFaults = "/standin/faults"
	// PathDraining takes a JSON boolean by POST: whether the server is draining.
	PathDraining = "/standin/leaving"
	// PathDispatches answers GET with the values of Server.Dispatches.
	PathDispatches = "/standin/dispatches"
)

// Config configures a Server.
type Config struct {
	Name string
	// Work is the processing time of a call.
	Work time.Duration
}

// Faults are the faults that the server currently has.
type Faults struct {
	// Delay is added to the processing time of every call.
	Delay time.Duration
	// DropReplies is how many further calls run without a reply; their connections are closed.
	DropReplies int
	// Dead closes the connection of each call without a reply and without running the call.
	// Load reports and the control paths still work.
	Dead bool
}

// Echo is the answer to a call: the call as the server received it.
type Echo struct {
	Server string
	Method string
	Path   string
	Query  string
	Body   string
	Header http.Header
}

// Server is a fake backend server.
type Server struct {
	cfg      Config
	mutex    sync.Mutex
	faults   Faults
	draining bool
	running  int
	records  []engine.DispatchRecord
}

// New returns a server without faults.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Dispatches returns the calls that the server has run or is running, in order of arrival.
func (srv *Server) Dispatches() []engine.DispatchRecord {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return append([]engine.DispatchRecord(nil), srv.records...)
}

// SetFaults replaces the server's faults.
func (srv *Server) SetFaults(fau Faults) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.faults = fau
}

// SetDraining sets whether the server reports that it is draining.
func (srv *Server) SetDraining(draining bool) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.draining = draining
}

// Handler returns the HTTP handler of the service, its load report and the control paths.
func (srv *Server) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc(PathFaults, func(wri http.ResponseWriter, req *http.Request) {
		var fau Faults
		if decode(wri, req, &fau) {
			srv.SetFaults(fau)
		}
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathDraining, func(wri http.ResponseWriter, req *http.Request) {
		var draining bool
		if decode(wri, req, &draining) {
			srv.SetDraining(draining)
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
	loa := engine.Load{Running: srv.running, Draining: srv.draining}
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
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(wri).Encode(body)
}
