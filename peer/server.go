package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/peer/peerpb/peerpbconnect"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// Sessions is what a host offers to the gateways of others.
type Sessions interface {
	// Header returns the header to send.
	Header() Header
	// SessionUp says that a gateway has opened a session. Messages for it go to
	// the queue; cancel ends the session. It returns a number for the session.
	SessionUp(from Header, que *Queue, cancel context.CancelFunc) uint64
	// SessionMessage brings one message of a session, or a header alone.
	SessionMessage(session uint64, rec Received)
	// SessionLost says that a session has ended.
	SessionLost(session uint64)
}

// Backend is what a host offers to the others where request ids name gateways.
type Backend interface {
	Sessions
	// Fence, Vouch, Unvouch and Handover answer the questions of that name.
	Fence(ctx context.Context, fen reservation.Fence) (reservation.FenceAnswer, error)
	Vouch(ctx context.Context, vou reservation.Vouch) error
	Unvouch(ctx context.Context, unv reservation.Unvouch) (reservation.UnvouchAnswer, error)
	Handover(ctx context.Context, han reservation.Handover) error
	// State returns what a peer that is behind fetches.
	State(ctx context.Context, viewsFrom, aboveRevision uint64) (State, error)
}

// ServerConfig holds what a Server is made from.
type ServerConfig struct {
	// Backend answers everything; without it, Sessions alone are served.
	Backend  Backend
	Sessions Sessions
	// Mirror passes the store's changes on; nil passes nothing on.
	Mirror   Mirror
	Security Security
	Timing   Timing
}

// Server serves the other hosts.
type Server struct {
	cfg ServerConfig
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Backend != nil {
		cfg.Sessions = cfg.Backend
	}
	return &Server{cfg: cfg}
}

// Handler returns the HTTP handler; requests without the shared key get 401.
func (srv *Server) Handler() http.Handler {
	_, handler := peerpbconnect.NewPeerServiceHandler(srv, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom))
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if !srv.cfg.Security.admits(req.Header) {
			http.Error(wri, "peer key missing or wrong", http.StatusUnauthorized)
			return
		}
		controller := http.NewResponseController(wri)
		handler.ServeHTTP(wri, req.WithContext(context.WithValue(req.Context(), controllerKey{}, controller)))
	})
}

// controllerKey is the context's key of a request's response controller.
type controllerKey struct{}

// unblocker returns a function that ends any use of the request's stream that waits.
func unblocker(ctx context.Context) func() {
	controller, known := ctx.Value(controllerKey{}).(*http.ResponseController)
	return func() {
		if !known {
			return
		}
		past := time.Now().Add(-time.Second)
		// A stream that takes no deadline has ended already.
		_ = controller.SetReadDeadline(past)
		_ = controller.SetWriteDeadline(past)
	}
}

// HTTPServer returns an HTTP server that speaks HTTP/2, as sessions need.
func (srv *Server) HTTPServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP2(srv.cfg.Security.TLS != nil)
	protocols.SetUnencryptedHTTP2(srv.cfg.Security.TLS == nil)
	return &http.Server{Handler: srv.Handler(), Protocols: &protocols, TLSConfig: srv.cfg.Security.TLS, ReadHeaderTimeout: headerTimeout}
}

// Serve serves the listener, with TLS where the security asks for it, until the
// HTTP server is closed.
func (srv *Server) Serve(lis net.Listener, server *http.Server) error {
	if srv.cfg.Security.TLS != nil {
		return server.ServeTLS(lis, "", "")
	}
	return server.Serve(lis)
}

// headerTimeout bounds how long a connection may take to say what it wants.
const headerTimeout = 10 * time.Second

// Session implements the generated service.
func (srv *Server) Session(ctx context.Context, str *connect.BidiStream[peerpb.Frame, peerpb.Frame]) error {
	if srv.cfg.Sessions == nil {
		return errNoSessions
	}
	first, err := str.Receive()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	que := NewQueue()
	num := srv.cfg.Sessions.SessionUp(headerFromWire(first.GetHeader()), que, cancel)
	defer srv.cfg.Sessions.SessionLost(num)
	deliver := func(rec Received) { srv.cfg.Sessions.SessionMessage(num, rec) }
	spread(first, deliver)
	pum := &pump{
		stream: str, queue: que.out, timing: srv.cfg.Timing, self: srv.cfg.Sessions.Header, unblock: unblocker(ctx), pulse: pulse{answers: true},
		deliver: func(frame *peerpb.Frame) { spread(frame, deliver) },
	}
	err = pum.run(ctx, cancel)
	if errors.Is(err, context.Canceled) {
		return connect.NewError(connect.CodeCanceled, err)
	}
	return err
}

// errSessionsOnly answers what a host without request ledgers can't.
var errSessionsOnly = connect.NewError(connect.CodeUnimplemented, errors.New("this host serves sessions only"))

// errNoSessions answers those who want this host to decide.
var errNoSessions = connect.NewError(connect.CodeUnimplemented, errors.New("this host serves no sessions"))

// errNoMirror answers those who want to read the store through this host.
var errNoMirror = connect.NewError(connect.CodeUnimplemented, errors.New("this host passes nothing on"))

// Fence implements the generated service.
func (srv *Server) Fence(ctx context.Context, req *connect.Request[peerpb.FenceRequest]) (*connect.Response[peerpb.FenceResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	fen := reservation.Fence{ID: idFromWire(req.Msg.GetId()), Ballot: ballotFromWire(req.Msg.GetBallot(), req.Msg.GetId())}
	ans, err := srv.cfg.Backend.Fence(ctx, fen)
	if err != nil {
		return nil, err
	}
	res := answerToWire(ans)
	res.Header = headerToWire(srv.cfg.Backend.Header())
	return connect.NewResponse(res), nil
}

// Vouch implements the generated service.
func (srv *Server) Vouch(ctx context.Context, req *connect.Request[peerpb.VouchRequest]) (*connect.Response[peerpb.VouchResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	vou := reservation.Vouch{
		VouchKey: keyFromWire(req.Msg.GetKey()), Sequence: req.Msg.GetSequence(), Records: recordsFromWire(req.Msg.GetRecords()),
	}
	if err := srv.cfg.Backend.Vouch(ctx, vou); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.VouchResponse{}), nil
}

// Unvouch implements the generated service.
func (srv *Server) Unvouch(ctx context.Context, req *connect.Request[peerpb.UnvouchRequest]) (*connect.Response[peerpb.UnvouchResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	unv := reservation.Unvouch{VouchKey: keyFromWire(req.Msg.GetKey()), Sequence: req.Msg.GetSequence()}
	ans, err := srv.cfg.Backend.Unvouch(ctx, unv)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.UnvouchResponse{Key: keyToWire(ans.VouchKey), Released: ans.Released}), nil
}

// Handover implements the generated service.
func (srv *Server) Handover(ctx context.Context, req *connect.Request[peerpb.HandoverRequest]) (*connect.Response[peerpb.HandoverResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	han := reservation.Handover{
		Stopped: epochsFromWire(req.Msg.GetStopped()), Records: recordsFromWire(req.Msg.GetRecords()),
		Floors: make(map[request.Epoch]uint64, len(req.Msg.GetFloors())),
	}
	for epo, floor := range req.Msg.GetFloors() {
		han.Floors[request.Epoch(epo)] = floor
	}
	if err := srv.cfg.Backend.Handover(ctx, han); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.HandoverResponse{}), nil
}

// FetchState implements the generated service.
func (srv *Server) FetchState(ctx context.Context, req *connect.Request[peerpb.FetchStateRequest]) (*connect.Response[peerpb.FetchStateResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	sta, err := srv.cfg.Backend.State(ctx, req.Msg.GetViewsFrom(), req.Msg.GetAboveRevision())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.FetchStateResponse{
		Header: headerToWire(srv.cfg.Backend.Header()), Views: sta.Views, Head: sta.Head, Parts: sta.Parts,
	}), nil
}

// Probe implements the generated service.
func (srv *Server) Probe(context.Context, *connect.Request[peerpb.ProbeRequest]) (*connect.Response[peerpb.ProbeResponse], error) {
	return connect.NewResponse(&peerpb.ProbeResponse{Header: headerToWire(srv.cfg.Sessions.Header())}), nil
}
