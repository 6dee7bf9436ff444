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
	"lynxwell.dev/lynxwell/transport"
)

// Sessions handles the sessions that the gateways of other hosts open.
type Sessions interface {
	// Header returns this host's header, which is sent with every frame and unary
	// answer.
	Header() Header
	// SessionUp is called when a gateway has opened a session. Messages put into the queue
	// are sent on the session, and cancel ends the session. SessionUp returns the
	// session's number.
	SessionUp(from Header, que *Queue, cancel context.CancelFunc) uint64
	// SessionMessage is called for each message of a session, and with a nil message
	// for each frame's header.
	SessionMessage(session uint64, rec Received)
	// SessionLost is called when a session has ended.
	SessionLost(session uint64)
}

// Backend handles the sessions and the unary RPCs of other hosts. A host implements Backend
// if its request ids name the gateway, and otherwise only Sessions.
type Backend interface {
	Sessions
	// Fence, Vouch, Unvouch and Handover handle the RPCs of these names.
	Fence(ctx context.Context, fen reservation.Fence) (reservation.FenceAnswer, error)
	Vouch(ctx context.Context, att reservation.Attestation) error
	Unvouch(ctx context.Context, rev reservation.Revocation) (reservation.RevocationAnswer, error)
	Handover(ctx context.Context, han reservation.Handover) error
	// State returns the views with numbers of at least viewsFrom, and the configuration
	// if its revision is above aboveRevision.
	State(ctx context.Context, viewsFrom, aboveRevision uint64) (State, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Backend handles all RPCs except Follow. If it is nil, Sessions handles Session
	// and Probe, and the other RPCs are rejected.
	Backend  Backend
	Sessions Sessions
	// Mirror handles Follow; nil disables Follow.
	Mirror Mirror
	// Followed is called with each answer to Follow; nil to ignore them.
	Followed func(Followed)
	// Forwarder handles Forward and CheckEngine; nil disables them.
	Forwarder Forwarder
	Security  Security
	Timing    Timing
}

// Server serves the RPCs and sessions of the other hosts.
type Server struct {
	cfg    ServerConfig
	packed *packCache
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Backend != nil {
		cfg.Sessions = cfg.Backend
	}
	return &Server{cfg: cfg, packed: newPackCache()}
}

// Handler returns the HTTP handler. If a shared key is configured, the handler rejects
// requests that don't carry the key with status 401.
func (srv *Server) Handler() http.Handler {
	_, handler := peerpbconnect.NewPeerServiceHandler(srv, connect.WithReadMaxBytes(maxMessageBytes), connect.WithConditionalHandlerOptions(compression))
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if !srv.cfg.Security.isAuthorized(req.Header) {
			http.Error(wri, "peer key missing or wrong", http.StatusUnauthorized)
			return
		}
		controller := http.NewResponseController(wri)
		handler.ServeHTTP(wri, req.WithContext(context.WithValue(req.Context(), controllerKey{}, controller)))
	})
}

// compression returns from which size on the answers of a procedure are compressed. Those of Follow
// are packed by packCache instead, once for all readers.
func compression(spec connect.Spec) []connect.HandlerOption {
	if spec.Procedure == peerpbconnect.PeerServiceFollowProcedure {
		return []connect.HandlerOption{connect.WithCompressMinBytes(maxMessageBytes)}
	}
	return []connect.HandlerOption{connect.WithCompressMinBytes(compressMinBytes)}
}

// controllerKey is the context key of a request's *http.ResponseController.
type controllerKey struct{}

// unblocker returns a function that aborts blocked reads and writes of the request's
// stream.
func unblocker(ctx context.Context) func() {
	controller, found := ctx.Value(controllerKey{}).(*http.ResponseController)
	return func() {
		if !found {
			return
		}
		past := time.Now().Add(-time.Second)
		// A stream that accepts no deadline has already ended.
		_ = controller.SetReadDeadline(past)
		_ = controller.SetWriteDeadline(past)
	}
}

// HTTPServer returns an HTTP server for HTTP/2, which sessions require.
func (srv *Server) HTTPServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP2(srv.cfg.Security.TLS != nil)
	protocols.SetUnencryptedHTTP2(srv.cfg.Security.TLS == nil)
	return &http.Server{Handler: srv.Handler(), Protocols: &protocols, TLSConfig: srv.cfg.Security.TLS, MaxHeaderBytes: transport.MaxHeadBytes, ReadHeaderTimeout: headerTimeout}
}

// Serve accepts connections from the listener, with TLS if TLS is configured, until the
// HTTP server is closed.
func (srv *Server) Serve(lis net.Listener, server *http.Server) error {
	if srv.cfg.Security.TLS != nil {
		return server.ServeTLS(lis, "", "")
	}
	return server.Serve(lis)
}

// headerTimeout bounds the time to read a request's headers.
const headerTimeout = 10 * time.Second

// Session implements peerpbconnect.PeerServiceHandler.
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
	deliverFrame(first, deliver)
	ses := &session{
		stream: str, queue: que.out, timing: srv.cfg.Timing, self: srv.cfg.Sessions.Header, unblock: unblocker(ctx), heartbeat: heartbeat{atCoordinator: true},
		deliver: func(frame *peerpb.Frame) { deliverFrame(frame, deliver) },
	}
	err = ses.run(ctx, cancel)
	if errors.Is(err, context.Canceled) {
		return connect.NewError(connect.CodeCanceled, err)
	}
	return err
}

// errSessionsOnly is the answer to RPCs that need a Backend.
var errSessionsOnly = connect.NewError(connect.CodeUnimplemented, errors.New("this host serves sessions only"))

// errNoSessions is the answer to Session on a host without a session handler.
var errNoSessions = connect.NewError(connect.CodeUnimplemented, errors.New("this host serves no sessions"))

// errNoMirror is the answer to Follow on a host without a mirror of the store.
var errNoMirror = connect.NewError(connect.CodeUnimplemented, errors.New("this host passes nothing on"))

// Fence implements peerpbconnect.PeerServiceHandler.
func (srv *Server) Fence(ctx context.Context, req *connect.Request[peerpb.FenceRequest]) (*connect.Response[peerpb.FenceResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	fen := reservation.Fence{ID: idFromWire(req.Msg.GetId()), Ballot: ballotFromWire(req.Msg.GetBallot(), req.Msg.GetId())}
	ans, err := srv.cfg.Backend.Fence(ctx, fen)
	if err != nil {
		return nil, err
	}
	res := fenceAnswerToWire(ans)
	res.Header = headerToWire(srv.cfg.Backend.Header())
	return connect.NewResponse(res), nil
}

// Vouch implements peerpbconnect.PeerServiceHandler.
func (srv *Server) Vouch(ctx context.Context, req *connect.Request[peerpb.VouchRequest]) (*connect.Response[peerpb.VouchResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	att := reservation.Attestation{
		AttestationKey: attestationKeyFromWire(req.Msg.GetKey()), Sequence: req.Msg.GetSequence(), Records: recordsFromWire(req.Msg.GetRecords()),
	}
	if err := srv.cfg.Backend.Vouch(ctx, att); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.VouchResponse{}), nil
}

// Unvouch implements peerpbconnect.PeerServiceHandler.
func (srv *Server) Unvouch(ctx context.Context, req *connect.Request[peerpb.UnvouchRequest]) (*connect.Response[peerpb.UnvouchResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	rev := reservation.Revocation{AttestationKey: attestationKeyFromWire(req.Msg.GetKey()), Sequence: req.Msg.GetSequence()}
	ans, err := srv.cfg.Backend.Unvouch(ctx, rev)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.UnvouchResponse{Key: attestationKeyToWire(ans.AttestationKey), Released: ans.Revoked}), nil
}

// Handover implements peerpbconnect.PeerServiceHandler.
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

// FetchState implements peerpbconnect.PeerServiceHandler.
func (srv *Server) FetchState(ctx context.Context, req *connect.Request[peerpb.FetchStateRequest]) (*connect.Response[peerpb.FetchStateResponse], error) {
	if srv.cfg.Backend == nil {
		return nil, errSessionsOnly
	}
	sta, err := srv.cfg.Backend.State(ctx, req.Msg.GetViewsFrom(), req.Msg.GetAboveRevision())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.FetchStateResponse{
		Header: headerToWire(srv.cfg.Backend.Header()), Views: sta.Views, Head: sta.Head, Parts: sta.Chunks,
	}), nil
}

// Probe implements peerpbconnect.PeerServiceHandler.
func (srv *Server) Probe(context.Context, *connect.Request[peerpb.ProbeRequest]) (*connect.Response[peerpb.ProbeResponse], error) {
	return connect.NewResponse(&peerpb.ProbeResponse{Header: headerToWire(srv.cfg.Sessions.Header())}), nil
}
