package platformtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"lynxwell.dev/lynxwell/store"
)

// Paths of the fake's control endpoints, which the platform doesn't have.
const (
	// PathFaults accepts Faults by POST.
	PathFaults = "/standin/faults"
	// PathCalls answers GET with the number of calls by kind.
	PathCalls = "/standin/calls"
	// PathHost accepts a HostChange by POST.
	PathHost = "/standin/hosts"
	// PathPut accepts a store.Write by POST and performs it regardless of the simulated faults,
	// as a write of an operator or engine.
	PathPut = "/standin/put"
	// PathValue answers GET with the store.Value of the query's key regardless of the simulated
	// faults, as operators read it.
	PathValue = "/standin/value"
	// PathCompact drops the store's history on POST.
	PathCompact = "/standin/compact"
	// PathCopy keeps a copy of the content on POST, and PathRestore restores the copy kept last.
	PathCopy    = "/standin/copy"
	PathRestore = "/standin/restore"
)

// HostChange is the body of PathHost.
type HostChange struct {
	store.HostState
	// Gone removes the host from the list.
	Gone bool
}

// pageItems and pageBytes are the maximum number and size of the items in a page of a range. An item over the size has a
// page of its own.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// Messages of the store's protocol, defined from the platform's documentation. The fake doesn't
// share them with package platform, so that tests detect mistakes in the adapter.
type (
	item struct {
		Key      string `json:"tls_key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"create_rev,omitempty"`
		Lease    uint64 `json:"lease"`
		Deleted  bool   `json:"deleted,omitempty"`
		Store    uint64 `json:"store_revision,omitempty"`
	}
	page struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		Store uint64 `json:"store_revision"`
	}
	events struct {
		Events []item `json:"events"`
		Store  uint64 `json:"store_revision"`
	}
	transaction struct {
		Expected []item   `json:"expected_rev"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	committed struct {
		Revision uint64 `json:"revision"`
	}
	leaseBody struct {
		Lease uint64 `json:"lease,omitempty"`
		TTL   int64  `json:"ttl_ms"`
	}
)

// Server offers a Memory over HTTP by the platform's protocol.
type Server struct {
	memory *Memory
	// kept is the copy that PathRestore restores.
	kept atomic.Pointer[Copy]
}

// NewServer returns a server of mem.
func NewServer(mem *Memory) *Server {
	return &Server{memory: mem}
}

// Handler returns the HTTP handler of the store and of the control endpoints.
func (srv *Server) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc("/kv-key", srv.serveKey).Methods(http.MethodGet)
	rou.HandleFunc("/kv-range", srv.serveRange).Methods(http.MethodGet)
	rou.HandleFunc("/kv-watch", srv.serveWatch).Methods(http.MethodGet)
	rou.HandleFunc("/kv-txn", srv.serveTransaction).Methods(http.MethodPost)
	rou.HandleFunc("/kv-lease", srv.serveGrant).Methods(http.MethodPost)
	rou.HandleFunc("/kv-keep/{lease}", srv.serveRenewal).Methods(http.MethodPost)
	rou.HandleFunc("/kv-lease-end/{lease}", srv.serveRevocation).Methods(http.MethodDelete)
	srv.registerControlRoutes(rou)
	rou.Use(srv.nameEra)
	return rou
}

// headerEra names the store's era in all its answers.
const headerEra = "Store-Era"

// nameEra sets the era of each answer.
func (srv *Server) nameEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: wri, memory: srv.memory, era: srv.memory.Era()}, req)
	})
}

// eraWriter sets the era's header.
type eraWriter struct {
	http.ResponseWriter
	memory *Memory
	// era is the era in which the call arrived.
	era uint64
}

// WriteHeader implements http.ResponseWriter. A call during which the store was restored gets no answer.
func (erw *eraWriter) WriteHeader(status int) {
	if erw.memory.Era() != erw.era {
		panic(http.ErrAbortHandler)
	}
	erw.Header().Set(headerEra, strconv.FormatUint(erw.era, 10))
	erw.ResponseWriter.WriteHeader(status)
}

func (srv *Server) registerControlRoutes(rou *mux.Router) {
	rou.HandleFunc(PathFaults, func(wri http.ResponseWriter, req *http.Request) {
		var fau Faults
		if decodeBody(wri, req, &fau) {
			srv.memory.SetFaults(fau)
			reply(wri, http.StatusOK, struct{}{})
		}
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathHost, func(wri http.ResponseWriter, req *http.Request) {
		var cha HostChange
		if !decodeBody(wri, req, &cha) {
			return
		}
		state := &cha.HostState
		if cha.Gone {
			state = nil
		}
		srv.memory.SetHost(cha.Name, state)
		reply(wri, http.StatusOK, struct{}{})
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathPut, func(wri http.ResponseWriter, req *http.Request) {
		var body store.Write
		if !decodeBody(wri, req, &body) {
			return
		}
		if err := srv.memory.Write(body); err != nil {
			replyError(wri, err)
			return
		}
		reply(wri, http.StatusOK, struct{}{})
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathValue, func(wri http.ResponseWriter, req *http.Request) {
		reply(wri, http.StatusOK, srv.memory.Peek(req.URL.Query().Get("key")))
	}).Methods(http.MethodGet)
	rou.HandleFunc(PathCompact, func(wri http.ResponseWriter, _ *http.Request) {
		srv.memory.Compact()
		reply(wri, http.StatusOK, struct{}{})
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathCopy, func(wri http.ResponseWriter, _ *http.Request) {
		cop := srv.memory.Copy()
		srv.kept.Store(&cop)
		reply(wri, http.StatusOK, struct{}{})
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathRestore, func(wri http.ResponseWriter, _ *http.Request) {
		// The answer is not one of the store's, so its era doesn't matter.
		if cop := srv.kept.Load(); cop != nil {
			srv.memory.Restore(*cop)
		}
	}).Methods(http.MethodPost)
	rou.HandleFunc(PathCalls, func(wri http.ResponseWriter, _ *http.Request) {
		reply(wri, http.StatusOK, srv.memory.Counts())
	}).Methods(http.MethodGet)
}

func itemOf(val store.Value) item {
	return item{Key: val.Key, Value: val.Data, Revision: uint64(val.Revision), Created: uint64(val.Revision), Lease: val.Lease.Number}
}

func (srv *Server) serveKey(wri http.ResponseWriter, req *http.Request) {
	val, err := srv.memory.Get(req.Context(), req.URL.Query().Get("tls_key"))
	switch {
	case err != nil:
		replyError(wri, err)
	case val.Revision == 0:
		reply(wri, http.StatusNotFound, struct{}{})
	default:
		reply(wri, http.StatusOK, itemOf(val))
	}
}

func (srv *Server) serveRange(wri http.ResponseWriter, req *http.Request) {
	prefix := req.URL.Query().Get("path_prefix")
	after := req.URL.Query().Get("after_rev")
	list := srv.memory.List
	if req.URL.Query().Get("stale_ok") == "1" {
		list = srv.memory.ListStale
	}
	values, rev, err := list(req.Context(), prefix)
	if err != nil {
		replyError(wri, err)
		return
	}
	values = append(values, srv.memory.backendEntries(prefix)...)
	res := page{Items: []item{}, Store: uint64(rev)}
	size := 0
	for _, val := range values {
		if val.Key <= after {
			continue
		}
		size += len(val.Key) + len(val.Data)
		if len(res.Items) == pageItems || len(res.Items) > 0 && size > pageBytes {
			res.More = true
			break
		}
		res.Items = append(res.Items, itemOf(val))
	}
	reply(wri, http.StatusOK, res)
}

func (srv *Server) serveWatch(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err := errors.CombineErrors(errAfter, errWait); err != nil {
		reply(wri, http.StatusBadRequest, struct{}{})
		return
	}
	changes, err := srv.memory.Watch(req.Context(), query.Get("path_prefix"), store.Revision(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		replyError(wri, err)
		return
	}
	res := events{Events: []item{}, Store: uint64(changes.Revision)}
	for _, cha := range changes.Changes {
		evt := itemOf(cha.Value)
		evt.Deleted = cha.Deleted
		res.Events = append(res.Events, evt)
	}
	reply(wri, http.StatusOK, res)
}

func (srv *Server) serveTransaction(wri http.ResponseWriter, req *http.Request) {
	var txn transaction
	if !decodeBody(wri, req, &txn) {
		return
	}
	if len(txn.Writes)+len(txn.Remove) != 1 {
		reply(wri, http.StatusBadRequest, struct{}{})
		return
	}
	write := writeOf(txn)
	if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
		reply(wri, http.StatusForbidden, struct{}{})
		return
	}
	rev, err := srv.memory.Put(req.Context(), write)
	if err != nil {
		replyError(wri, err)
		return
	}
	reply(wri, http.StatusOK, committed{Revision: uint64(rev)})
}

// writeOf converts a transaction of one write or removal to a store.Write.
func writeOf(txn transaction) store.Write {
	var wri store.Write
	if len(txn.Writes) > 0 {
		wri = store.Write{Key: txn.Writes[0].Key, Data: txn.Writes[0].Value, Lease: store.LeaseID{Number: txn.Writes[0].Lease}}
	} else {
		wri = store.Write{Key: txn.Remove[0], Delete: true}
	}
	wri.Blind = len(txn.Expected) == 0
	if !wri.Blind {
		wri.Expect = store.Revision(txn.Expected[0].Revision)
		if len(txn.Expected) > 1 {
			wri.Absent = txn.Expected[1].Key
		}
	}
	return wri
}

func (srv *Server) serveGrant(wri http.ResponseWriter, req *http.Request) {
	var body leaseBody
	if !decodeBody(wri, req, &body) {
		return
	}
	id, err := srv.memory.GrantLease(req.Context(), time.Duration(body.TTL)*time.Millisecond)
	if err != nil {
		replyError(wri, err)
		return
	}
	reply(wri, http.StatusOK, leaseBody{Lease: id.Number, TTL: body.TTL})
}

func (srv *Server) serveRenewal(wri http.ResponseWriter, req *http.Request) {
	srv.leaseCall(wri, req, func(id store.LeaseID) error { return srv.memory.RenewLease(req.Context(), id) })
}

func (srv *Server) serveRevocation(wri http.ResponseWriter, req *http.Request) {
	srv.leaseCall(wri, req, func(id store.LeaseID) error { return srv.memory.RevokeLease(req.Context(), id) })
}

func (srv *Server) leaseCall(wri http.ResponseWriter, req *http.Request, apply func(store.LeaseID) error) {
	id, err := strconv.ParseUint(mux.Vars(req)["lease"], 10, 64)
	if err == nil {
		err = apply(store.LeaseID{Number: id})
	}
	if err != nil {
		replyError(wri, err)
		return
	}
	reply(wri, http.StatusOK, struct{}{})
}

// decodeBody decodes a JSON body. If it is invalid, it replies with status 400 and returns false.
func decodeBody(wri http.ResponseWriter, req *http.Request, target any) bool {
	if err := json.NewDecoder(req.Body).Decode(target); err != nil {
		reply(wri, http.StatusBadRequest, struct{}{})
		return false
	}
	return true
}

// replyError replies with the status that the platform uses for the error.
func replyError(wri http.ResponseWriter, err error) {
	var cer *store.ConflictError
	var ler *store.LeaseError
	var rer *store.RateError
	var uer *store.UnavailableError
	var compacted *store.CompactedError
	var uncertain *store.UncertainError
	switch {
	case errors.As(err, &uncertain):
		// Close the connection without a reply, as after a real loss.
		panic(http.ErrAbortHandler)
	case errors.As(err, &cer):
		reply(wri, http.StatusPreconditionFailed, page{Items: []item{{Key: cer.Key, Revision: uint64(cer.Actual)}}})
	case errors.As(err, &ler):
		reply(wri, http.StatusNotFound, struct{}{})
	case errors.As(err, &compacted):
		reply(wri, http.StatusGone, struct{}{})
	case errors.As(err, &rer):
		reply(wri, http.StatusTooManyRequests, struct{}{})
	case errors.As(err, &uer):
		reply(wri, http.StatusServiceUnavailable, struct{}{})
	default:
		reply(wri, http.StatusBadRequest, struct{}{})
	}
}

func reply(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(wri).Encode(body)
}
