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
	"lynxwell.dev/lynxwell/transport"
)

// maxChangeBytes bounds the request body of a change.
const maxChangeBytes = 8 << 20

// watchInterval is the polling interval of a watch.
const watchInterval = 200 * time.Millisecond

// headerTimeout bounds the time for reading a request's headers.
const headerTimeout = 10 * time.Second

// Backend is the part of a host that the operator API needs.
type Backend interface {
	// Configuration returns the configuration in force on this host.
	Configuration() resource.Configuration
	// Change writes a change to the platform's store. Its error is a
	// *resource.ConflictError, a *resource.CheckError, a *NotDecidedError or
	// one of the store's errors.
	Change(ctx context.Context, cha resource.Change) (ChangeResult, error)
	// Status queries all hosts and returns their merged status.
	Status(ctx context.Context) Status
	// Dump returns the state of this process.
	Dump(ctx context.Context) any
	// Metrics returns the metrics of this process.
	Metrics() any
}

// ServerConfig is the configuration of a Server.
type ServerConfig struct {
	Backend Backend
	// Key is the operators' bearer key.
	Key string
	Log zerolog.Logger
}

// Server serves the operator API.
type Server struct {
	cfg ServerConfig
}

// NewServer returns a server that serves cfg.Backend.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg}
}

// HTTPServer returns an HTTP server with the server's handler.
func (srv *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: srv.Handler(), MaxHeaderBytes: transport.MaxHeadBytes, ReadHeaderTimeout: headerTimeout}
}

// Handler returns the HTTP handler, which answers 401 to requests without the key.
func (srv *Server) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.Use(srv.requireKey)
	rou.HandleFunc(PathResources, srv.serveResources).Methods(http.MethodGet)
	rou.HandleFunc(PathResources+"/{kind}/{name}", srv.serveResource).Methods(http.MethodGet)
	rou.HandleFunc(PathChanges, srv.serveChange).Methods(http.MethodPost)
	rou.HandleFunc(PathStatus, srv.serveStatus).Methods(http.MethodGet)
	rou.HandleFunc(PathWatch, srv.serveWatch).Methods(http.MethodGet)
	rou.HandleFunc(PathDump, func(wri http.ResponseWriter, req *http.Request) {
		writeJSON(wri, http.StatusOK, srv.cfg.Backend.Dump(req.Context()))
	}).Methods(http.MethodGet)
	rou.HandleFunc(PathMetrics, func(wri http.ResponseWriter, _ *http.Request) {
		writeJSON(wri, http.StatusOK, srv.cfg.Backend.Metrics())
	}).Methods(http.MethodGet)
	return rou
}

func (srv *Server) requireKey(next http.Handler) http.Handler {
	want := []byte("Bearer " + srv.cfg.Key)
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if subtle.ConstantTimeCompare([]byte(req.Header.Get("Authorization")), want) != 1 {
			writeJSON(wri, http.StatusUnauthorized, ErrorBody{Code: CodeUnauthorized, Message: "Authorization: want the operators' bearer key"})
			return
		}
		next.ServeHTTP(wri, req)
	})
}

func (srv *Server) serveResources(wri http.ResponseWriter, _ *http.Request) {
	con := srv.cfg.Backend.Configuration()
	writeJSON(wri, http.StatusOK, EntryList{Revision: con.Revision, Entries: con.Entries()})
}

func (srv *Server) serveResource(wri http.ResponseWriter, req *http.Request) {
	kin, err := resource.ParseKind(mux.Vars(req)["kind"])
	if err != nil {
		writeJSON(wri, http.StatusBadRequest, ErrorBody{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	key := resource.Key{Kind: kin, Name: mux.Vars(req)["name"]}
	con := srv.cfg.Backend.Configuration()
	ent, known := con.Entry(key)
	if !known {
		writeJSON(wri, http.StatusNotFound, ErrorBody{Code: CodeNotFound, Message: "there is no " + key.String()})
		return
	}
	writeJSON(wri, http.StatusOK, EntryList{Revision: con.Revision, Entries: []resource.Entry{ent}})
}

// editWire is an EditBody whose Spec isn't decoded yet, because its type depends on Kind.
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

// parseChange decodes the request body of a change; errors name the field.
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
		writeJSON(wri, http.StatusBadRequest, ErrorBody{Code: CodeBadRequest, Message: "body: " + err.Error()})
		return
	}
	cha, err := parseChange(data)
	if err != nil {
		writeJSON(wri, http.StatusBadRequest, ErrorBody{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	res, err := srv.cfg.Backend.Change(req.Context(), cha)
	if err != nil {
		status, body := errorBodyOf(err)
		srv.cfg.Log.Warn().Str("ChangeID", cha.ID).Str("Code", body.Code).Err(err).Msg("change rejected")
		writeJSON(wri, status, body)
		return
	}
	srv.cfg.Log.Info().Str("ChangeID", cha.ID).Uint64("Revision", res.Revision).Msg("change accepted")
	writeJSON(wri, http.StatusOK, res)
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
	writeJSON(wri, http.StatusOK, srv.cfg.Backend.Status(req.Context()))
}

// serveWatch streams the status as JSON lines: the current one, and then each changed one.
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

func writeJSON(wri http.ResponseWriter, status int, body any) {
	data, err := format.Encode(body)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// Write fails only if the operator has disconnected.
	_, _ = wri.Write(data)
}
