package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/transport"
)

// defaultMaxRequests is the default maximum number of concurrent requests.
const defaultMaxRequests = 8192

// Server serves clients' requests.
type Server struct {
	cfg         ServerConfig
	relayClient *http.Client
	lastClient  atomic.Uint64
	serving     atomic.Int64
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = defaultMaxRequests
	}
	httpTransport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: transport.MaxHeadBytes}
	return &Server{cfg: cfg, relayClient: &http.Client{Transport: transport.Checked(httpTransport)}}
}

// Close closes idle connections to other hosts.
func (srv *Server) Close() {
	srv.relayClient.CloseIdleConnections()
}

// HTTPServer returns an HTTP server with timeouts for slow clients.
func (srv *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: srv.Handler(), MaxHeaderBytes: transport.MaxHeadBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// Handler returns the HTTP handler of the clients' API.
func (srv *Server) Handler() http.Handler {
	rou := mux.NewRouter().UseEncodedPath()
	rou.HandleFunc("/v1/addresses", srv.serveAddresses).Methods(http.MethodGet)
	rou.HandleFunc("/v1/chat/completions", srv.limitConcurrency(srv.serveChat)).Methods(http.MethodPost)
	rou.HandleFunc("/v1/ready", srv.serveReady).Methods(http.MethodGet)
	rou.HandleFunc("/services/{service}{rest:(?:/.*)?}", srv.limitConcurrency(srv.servePlain))
	rou.NotFoundHandler = http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		sendProblem(wri, problem{status: http.StatusNotFound, code: "NoSuchPath", message: "no such path: " + req.URL.Path})
	})
	return rou
}

func (srv *Server) limitConcurrency(next http.HandlerFunc) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		defer srv.serving.Add(-1)
		if srv.serving.Add(1) > int64(srv.cfg.MaxRequests) {
			sendProblem(wri, problem{
				status: http.StatusServiceUnavailable, code: "HostBusy", message: "this host serves as many requests as it may",
				outcome: request.Unknown, retry: true, retryAfter: time.Second,
			})
			return
		}
		next(wri, req)
	}
}

func (srv *Server) serveAddresses(wri http.ResponseWriter, _ *http.Request) {
	adr := srv.cfg.Backend.Addresses()
	if len(adr.Addresses) == 0 {
		sendProblem(wri, problem{
			status: http.StatusServiceUnavailable, code: "NoView", message: "this host knows no view yet",
			retry: true, retryAfter: time.Second,
		})
		return
	}
	sendJSON(wri, http.StatusOK, adr)
}

func (srv *Server) serveReady(wri http.ResponseWriter, _ *http.Request) {
	ready, reason := srv.cfg.Backend.Ready()
	if !ready {
		sendProblem(wri, problem{status: http.StatusServiceUnavailable, code: "NotReady", message: reason})
		return
	}
	sendJSON(wri, http.StatusOK, struct{ Ready bool }{true})
}

// maxMoves bounds the relays of one request to gateways that have taken it over. Beyond it the
// client learns that the request has moved, and may return.
const maxMoves = 4

// submission is a validated request of a client.
type submission struct {
	arrived gateway.Arrived
	work    Work
	// body is the unmodified request body, for relaying.
	body []byte
	// stream reports whether the client requested the answer as a stream.
	stream  bool
	account string
	// moves counts the relays to gateways that have taken the request over.
	moves int
	log   logFields
}

func (srv *Server) serveChat(wri http.ResponseWriter, req *http.Request) {
	sub, pro := srv.readChat(wri, req)
	if pro != nil {
		sendProblem(wri, *pro)
		return
	}
	srv.serve(wri, req, sub)
}

func (srv *Server) servePlain(wri http.ResponseWriter, req *http.Request) {
	sub, pro := srv.readPlain(wri, req)
	if pro != nil {
		sendProblem(wri, *pro)
		return
	}
	srv.serve(wri, req, sub)
}

// serve passes the request to the gateway and sends the answer to the client.
func (srv *Server) serve(wri http.ResponseWriter, req *http.Request, sub *submission) {
	wri.Header().Set(HeaderRequestID, sub.arrived.ID.String())
	dec, err := srv.cfg.Backend.Arrive(req.Context(), sub.arrived, sub.work)
	if err != nil {
		srv.sendHostStopped(wri, err)
		return
	}
	srv.sendDecision(wri, req, sub, dec)
}

func (srv *Server) sendHostStopped(wri http.ResponseWriter, err error) {
	sendProblem(wri, problem{
		status: http.StatusServiceUnavailable, code: "HostStopped", message: err.Error(),
		outcome: request.Unknown, retry: true,
	})
}

func (srv *Server) sendDecision(wri http.ResponseWriter, req *http.Request, sub *submission, dec Decision) {
	switch dec := dec.(type) {
	case Attached:
		srv.sendExchange(wri, req, sub, dec.Exchange)
	case Answered:
		srv.sendFinal(wri, sub, dec.Final)
	case Relayed:
		srv.relayRequest(wri, req, sub, dec.To)
	}
}

// retryRelay requests a new decision from the gateway after a relay without an answer. It doesn't
// relay a second time: if that is the decision, the client gets an error with outcome Unknown.
func (srv *Server) retryRelay(wri http.ResponseWriter, req *http.Request, sub *submission, rel Relayed) {
	dec, err := srv.cfg.Backend.RelayFailed(req.Context(), sub.arrived, rel.To, sub.work)
	if err != nil {
		srv.sendHostStopped(wri, err)
		return
	}
	if _, isRelayed := dec.(Relayed); isRelayed {
		srv.sendFinal(wri, sub, gateway.Final{Cause: gateway.CauseUndecided, Outcome: request.Unknown, Retry: true, RetryAfter: time.Second})
		return
	}
	srv.sendDecision(wri, req, sub, dec)
}

func (srv *Server) sendFinal(wri http.ResponseWriter, sub *submission, fin gateway.Final) {
	pro := problemOf(fin)
	srv.logEnd(sub, pro.status, string(fin.Cause), fin.Outcome)
	sendProblem(wri, pro)
}

// sendExchange sends the exchange's answer to the client, as a stream or as one body. If the request
// has moved to another gateway and no part of the answer was sent, it relays the request there.
func (srv *Server) sendExchange(wri http.ResponseWriter, req *http.Request, sub *submission, exc *Exchange) {
	rea := exc.Open()
	defer srv.cfg.Backend.Detach(sub.arrived.ID)
	defer rea.Close()
	out := &output{writer: wri, controller: http.NewResponseController(wri), sub: sub}
	for {
		prg, err := rea.Next(req.Context())
		if err != nil {
			srv.logEnd(sub, 0, "CallerLeft", "")
			return
		}
		if prg.Final != nil && prg.Final.Cause == gateway.CauseMoved && !out.started && sub.work != nil && sub.moves < maxMoves {
			sub.moves++
			srv.relayRequest(wri, req, sub, prg.Final.Holder)
			return
		}
		if res := out.apply(prg); res != nil {
			srv.logEnd(sub, res.status, res.code, res.outcome)
			if res.abort {
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
}

// authenticate returns the client account of the bearer key.
func (srv *Server) authenticate(req *http.Request) (resource.ClientAccount, *problem) {
	key, bearer := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return resource.ClientAccount{}, &problem{status: http.StatusUnauthorized, code: "NoKey", message: "Authorization: want a bearer key of a client account"}
	}
	if srv.cfg.Backend.Configuration().Revision == 0 {
		return resource.ClientAccount{}, &problem{
			status: http.StatusServiceUnavailable, code: "NoConfiguration", message: "this host knows no configuration yet",
			outcome: request.Unknown, retry: true, retryAfter: time.Second,
		}
	}
	acc, known := srv.cfg.Backend.Account(resource.Digest([]byte(key)))
	if !known {
		return resource.ClientAccount{}, &problem{status: http.StatusUnauthorized, code: "UnknownKey", message: "Authorization: no client account has this key"}
	}
	return acc, nil
}

// readBody reads a body of at most limit bytes within readBodyTimeout.
func readBody(wri http.ResponseWriter, req *http.Request, limit int64) ([]byte, *problem) {
	// A connection that doesn't support deadlines is read without one.
	_ = http.NewResponseController(wri).SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, limit))
	_ = http.NewResponseController(wri).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &problem{status: http.StatusRequestEntityTooLarge, code: "BodyTooLarge", message: "body: larger than the service takes"}
	}
	if err != nil {
		return nil, &problem{status: http.StatusBadRequest, code: "BodyBroken", message: "body: " + err.Error()}
	}
	return body, nil
}

func sendJSON(wri http.ResponseWriter, status int, body any) {
	var buf bytes.Buffer
	if err := json.NewEncoder(&buf).Encode(body); err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = wri.Write(buf.Bytes())
}

func isDone(ctx context.Context) bool {
	return ctx.Err() != nil
}
