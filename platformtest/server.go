package platformtest

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"lynxwell.dev/lynxwell/platform"
)

// The paths of the stand-in's own switches.
const (
	// PathFaults takes Faults by POST.
	PathFaults = "/standin/faults"
	// PathCalls answers GET with the calls by kind.
	PathCalls = "/standin/calls"
	// PathHost takes a platform.HostState by POST; Gone removes it.
	PathHost = "/standin/hosts"
)

// HostChange is the body of PathHost.
type HostChange struct {
	platform.HostState
	Gone bool
}

// Server offers a Memory over HTTP.
type Server struct {
	memory *Memory
}

// NewServer returns a server of the store.
func NewServer(mem *Memory) *Server {
	return &Server{memory: mem}
}

// Handler returns the HTTP handler.
func (srv *Server) Handler() http.Handler {
	rou := mux.NewRouter()
	mem := srv.memory
	handle(rou, platform.PathGet, func(ctx context.Context, req platform.GetRequest) (platform.ListResponse, error) {
		val, err := mem.Get(ctx, req.Key)
		if err != nil || val.Revision == 0 {
			return platform.ListResponse{}, err
		}
		return platform.ListResponse{Values: []platform.Value{val}}, nil
	})
	handle(rou, platform.PathList, func(ctx context.Context, req platform.GetRequest) (platform.ListResponse, error) {
		values, rev, err := mem.List(ctx, req.Key)
		return platform.ListResponse{Values: values, Revision: rev}, err
	})
	handle(rou, platform.PathPut, func(ctx context.Context, wri platform.Write) (platform.PutResponse, error) {
		rev, err := mem.Put(ctx, wri)
		return platform.PutResponse{Revision: rev}, err
	})
	handle(rou, platform.PathWatch, func(ctx context.Context, req platform.WatchRequest) (platform.PutResponse, error) {
		rev, err := mem.Watch(ctx, req.Prefix, req.After, req.Wait)
		return platform.PutResponse{Revision: rev}, err
	})
	handle(rou, platform.PathGrant, func(ctx context.Context, req platform.LeaseRequest) (platform.LeaseResponse, error) {
		id, err := mem.GrantLease(ctx, req.TTL)
		return platform.LeaseResponse{ID: id}, err
	})
	handle(rou, platform.PathRenew, func(ctx context.Context, req platform.LeaseRequest) (struct{}, error) {
		return struct{}{}, mem.RenewLease(ctx, req.ID)
	})
	handle(rou, platform.PathRevoke, func(ctx context.Context, req platform.LeaseRequest) (struct{}, error) {
		return struct{}{}, mem.RevokeLease(ctx, req.ID)
	})
	handle(rou, platform.PathHosts, func(ctx context.Context, _ struct{}) (platform.HostsResponse, error) {
		hosts, err := mem.Hosts(ctx)
		return platform.HostsResponse{Hosts: hosts}, err
	})
	srv.switches(rou)
	return rou
}

func (srv *Server) switches(rou *mux.Router) {
	handle(rou, PathFaults, func(_ context.Context, fau Faults) (struct{}, error) {
		srv.memory.SetFaults(fau)
		return struct{}{}, nil
	})
	handle(rou, PathHost, func(_ context.Context, cha HostChange) (struct{}, error) {
		state := &cha.HostState
		if cha.Gone {
			state = nil
		}
		srv.memory.SetHost(cha.Name, state)
		return struct{}{}, nil
	})
	rou.HandleFunc(PathCalls, func(wri http.ResponseWriter, _ *http.Request) {
		reply(wri, http.StatusOK, srv.memory.Counts())
	}).Methods(http.MethodGet)
}

// handle routes a POST with a JSON body to the function.
func handle[Req, Res any](rou *mux.Router, path string, serve func(context.Context, Req) (Res, error)) {
	rou.HandleFunc(path, func(wri http.ResponseWriter, req *http.Request) {
		var body Req
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
			reply(wri, http.StatusBadRequest, platform.ErrorResponse{Message: err.Error()})
			return
		}
		res, err := serve(req.Context(), body)
		if err != nil {
			fail(wri, err)
			return
		}
		reply(wri, http.StatusOK, res)
	}).Methods(http.MethodPost)
}

func fail(wri http.ResponseWriter, err error) {
	var cer *platform.ConflictError
	var ler *platform.LeaseError
	var rer *platform.RateError
	var uer *platform.UnavailableError
	var lost *platform.UncertainError
	body := platform.ErrorResponse{Message: err.Error()}
	switch {
	case errors.As(err, &lost):
		// The connection ends without a reply, as it would on a real loss.
		panic(http.ErrAbortHandler)
	case errors.As(err, &cer):
		body.Actual = cer.Actual
		reply(wri, http.StatusConflict, body)
	case errors.As(err, &ler):
		reply(wri, http.StatusGone, body)
	case errors.As(err, &rer):
		body.RetryAfter = rer.RetryAfter
		reply(wri, http.StatusTooManyRequests, body)
	case errors.As(err, &uer):
		reply(wri, http.StatusServiceUnavailable, body)
	default:
		reply(wri, http.StatusBadRequest, body)
	}
}

func reply(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// A caller that has left can't be told anything more.
	_ = json.NewEncoder(wri).Encode(body)
}
