package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/store"
)

// maxChangeBytes bounds a change.
const maxChangeBytes = 8 << 20

// watchInterval is how often a watch looks for a new status.
const watchInterval = 200 * time.Millisecond

// headerTimeout bounds how long a connection may take to say what it wants.
const headerTimeout = 10 * time.Second

// Backend is the host as far as operators are concerned.
type Backend interface {
	// Configuration returns the configuration in force on this host.
	Configuration() resource.Configuration
	// Change has a change accepted by the platform. It returns a
	// *resource.ConflictError, a *resource.CheckError, a *NotDecidedError or
	// one of the platform's errors.
	Change(ctx context.Context, cha resource.Change) (ChangeResult, error)
	// Status asks all hosts.
	Status(ctx context.Context) Status
	// Dump returns the state of this process.
	Dump(ctx context.Context) any
	// Metrics returns the process's measurements.
	Metrics() any
}

// ServerConfig holds what a Server is made from.
type ServerConfig struct {
	Backend Backend
	// Key is the operators' bearer key.
	Key string
	Log zerolog.Logger
}

// Server serves operators.
type Server struct {
	cfg ServerConfig
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg}
}

// HTTPServer returns an HTTP server for the handler.
func (srv *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: srv.Handler(), ReadHeaderTimeout: headerTimeout}
}

// Handler returns the HTTP handler; requests without the key get 401.
func (srv *Server) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.Use(srv.authenticated)
	rou.HandleFunc(PathResources, srv.serveResources).Methods(http.MethodGet)
	rou.HandleFunc(PathResources+"/{kind}/{name}", srv.serveResource).Methods(http.MethodGet)
	rou.HandleFunc(PathChanges, srv.serveChange).Methods(http.MethodPost)
	rou.HandleFunc(PathStatus, srv.serveStatus).Methods(http.MethodGet)
	rou.HandleFunc(PathWatch, srv.serveWatch).Methods(http.MethodGet)
	rou.HandleFunc(PathDump, func(wri http.ResponseWriter, req *http.Request) {
		send(wri, http.StatusOK, srv.cfg.Backend.Dump(req.Context()))
	}).Methods(http.MethodGet)
	rou.HandleFunc(PathMetrics, func(wri http.ResponseWriter, _ *http.Request) {
		send(wri, http.StatusOK, srv.cfg.Backend.Metrics())
	}).Methods(http.MethodGet)
	return rou
}

func (srv *Server) authenticated(next http.Handler) http.Handler {
	want := []byte("Bearer " + srv.cfg.Key)
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if subtle.ConstantTimeCompare([]byte(req.Header.Get("Authorization")), want) != 1 {
			send(wri, http.StatusUnauthorized, ErrorBody{Code: CodeUnauthorized, Message: "Authorization: want the operators' bearer key"})
			return
		}
		next.ServeHTTP(wri, req)
	})
}

func (srv *Server) serveResources(wri http.ResponseWriter, _ *http.Request) {
	con := srv.cfg.Backend.Configuration()
	send(wri, http.StatusOK, EntryList{Revision: con.Revision, Entries: con.Entries()})
}

func (srv *Server) serveResource(wri http.ResponseWriter, req *http.Request) {
	kin, err := resource.ParseKind(mux.Vars(req)["kind"])
	if err != nil {
		send(wri, http.StatusBadRequest, ErrorBody{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	key := resource.Key{Kind: kin, Name: mux.Vars(req)["name"]}
	con := srv.cfg.Backend.Configuration()
	ent, known := con.Entry(key)
	if !known {
		send(wri, http.StatusNotFound, ErrorBody{Code: CodeNotFound, Message: "there is no " + key.String()})
		return
	}
	send(wri, http.StatusOK, EntryList{Revision: con.Revision, Entries: []resource.Entry{ent}})
}

// editWire is an EditBody whose spec isn't read yet.
type editWire struct {
	Kind   resource.Kind
	Name   string
	Seen   uint64
	Delete bool
	Spec   json.RawMessage
}

type changeWire struct {
	ID    string
	Edits []editWire
}

// parseChange reads the body of a change; errors name the field.
func parseChange(data []byte) (resource.Change, error) {
	var raw changeWire
	if err := format.Decode("change", data, &raw); err != nil {
		return resource.Change{}, err
	}
	if raw.ID == "" {
		return resource.Change{}, &format.FieldError{File: "change", Field: "ID", Reason: "want an id of your choice"}
	}
	cha := resource.Change{ID: raw.ID}
	for idx, edi := range raw.Edits {
		edit, err := parseEdit(fmt.Sprintf("Edits[%d]", idx), edi)
		if err != nil {
			return resource.Change{}, err
		}
		cha.Edits = append(cha.Edits, edit)
	}
	return cha, nil
}

func parseEdit(path string, raw editWire) (resource.Edit, error) {
	kin, err := resource.ParseKind(string(raw.Kind))
	if err != nil {
		return resource.Edit{}, &format.FieldError{File: "change", Field: path + ".Kind", Reason: err.Error()}
	}
	edi := resource.Edit{Key: resource.Key{Kind: kin, Name: raw.Name}, Seen: raw.Seen}
	if raw.Delete {
		return edi, nil
	}
	res, err := resource.DecodeSpec(path+".Spec", kin, raw.Spec)
	if err != nil {
		return resource.Edit{}, err
	}
	if res.Key() != edi.Key {
		return resource.Edit{}, &format.FieldError{File: "change", Field: path + ".Spec.Name", Reason: "must be the edit's Name"}
	}
	edi.Resource = res
	return edi, nil
}

func (srv *Server) serveChange(wri http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxChangeBytes))
	if err != nil {
		send(wri, http.StatusBadRequest, ErrorBody{Code: CodeBadRequest, Message: "body: " + err.Error()})
		return
	}
	cha, err := parseChange(data)
	if err != nil {
		send(wri, http.StatusBadRequest, ErrorBody{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	res, err := srv.cfg.Backend.Change(req.Context(), cha)
	if err != nil {
		status, body := errorBodyOf(err)
		srv.cfg.Log.Warn().Str("ChangeID", cha.ID).Str("Code", body.Code).Err(err).Msg("change refused")
		send(wri, status, body)
		return
	}
	srv.cfg.Log.Info().Str("ChangeID", cha.ID).Uint64("Revision", res.Revision).Msg("change accepted")
	send(wri, http.StatusOK, res)
}

func errorBodyOf(err error) (int, ErrorBody) {
	var cer *resource.ConflictError
	var che *resource.CheckError
	var ner *NotDecidedError
	var rer *store.RateError
	var uer *store.UnavailableError
	body := ErrorBody{Message: err.Error()}
	switch {
	case errors.As(err, &cer):
		body.Code = CodeConflict
		body.Conflict = &ConflictBody{Kind: cer.Key.Kind, Name: cer.Key.Name, Seen: cer.Seen, Newer: cer.Newer, Fields: cer.Fields}
		return http.StatusConflict, body
	case errors.As(err, &che):
		body.Code = CodeNotAccepted
		for _, pro := range che.Problems {
			body.Problems = append(body.Problems, ProblemBody{Kind: pro.Key.Kind, Name: pro.Key.Name, Field: pro.Field, Reason: pro.Reason})
		}
		return http.StatusUnprocessableEntity, body
	case errors.As(err, &ner):
		body.Code = CodeNotDecided
		return http.StatusBadGateway, body
	case errors.As(err, &rer), errors.As(err, &uer):
		body.Code = CodePlatform
		return http.StatusServiceUnavailable, body
	default:
		body.Code = CodePlatform
		return http.StatusBadGateway, body
	}
}

func (srv *Server) serveStatus(wri http.ResponseWriter, req *http.Request) {
	send(wri, http.StatusOK, srv.cfg.Backend.Status(req.Context()))
}

// serveWatch streams the status, a JSON value a line, each time it changes.
func (srv *Server) serveWatch(wri http.ResponseWriter, req *http.Request) {
	wri.Header().Set("Content-Type", "application/jsonl")
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := ""
	for {
		line, err := json.Marshal(srv.cfg.Backend.Status(req.Context()))
		if err != nil {
			return
		}
		if string(line) != last {
			last = string(line)
			if _, err := wri.Write(append(line, '\n')); err != nil {
				return
			}
			_ = http.NewResponseController(wri).Flush()
		}
		select {
		case <-ticker.C:
		case <-req.Context().Done():
			return
		}
	}
}

func send(wri http.ResponseWriter, status int, body any) {
	data, err := format.Encode(body)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// An operator that has left can't be told anything more.
	_, _ = wri.Write(data)
}
