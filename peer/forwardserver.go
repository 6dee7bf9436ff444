package peer

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/upstream"
)

// Forwarder sends requests to engines for hosts that can't reach them.
type Forwarder interface {
	// OpenForward reserves a connection to an engine. The error is a *ForwardError.
	OpenForward(ctx context.Context, engine fleet.EngineID) (ForwardConn, error)
	// CheckEngine reports whether an engine accepts connections.
	CheckEngine(ctx context.Context, engine fleet.EngineID) upstream.Probe
}

// ForwardConn is a connection to an engine that is reserved for one request. Either Send or Release must be
// called.
type ForwardConn interface {
	// Send sends the request and returns the head of the answer. The error is a *ForwardError.
	Send(ctx context.Context, req ForwardRequest) (ForwardAnswer, error)
	Release()
}

// errNoForwarder is the answer to Forward and CheckEngine on a host without engines.
var errNoForwarder = connect.NewError(connect.CodeUnimplemented, errors.New("this host forwards nothing"))

// forwardStream is the server's end of a forwarding.
type forwardStream = connect.BidiStream[peerpb.ForwardFrame, peerpb.ForwardFrame]

// Forward implements peerpbconnect.PeerServiceHandler.
func (srv *Server) Forward(ctx context.Context, str *forwardStream) error {
	if srv.cfg.Forwarder == nil {
		return errNoForwarder
	}
	frame, err := str.Receive()
	if err != nil {
		return err
	}
	if frame.GetOpen() == nil {
		return unexpectedFrame(frame)
	}
	con, err := srv.cfg.Forwarder.OpenForward(ctx, fleet.ParseEngineID(frame.GetOpen().GetEngine()))
	if err != nil {
		return str.Send(endToWire(err))
	}
	if err := str.Send(&peerpb.ForwardFrame{Part: &peerpb.ForwardFrame_Ready{Ready: &peerpb.ForwardReady{}}}); err != nil {
		con.Release()
		return err
	}
	req, err := receiveForwardRequest(str)
	if err != nil {
		con.Release()
		return err
	}
	ans, err := con.Send(ctx, req)
	if err != nil {
		return str.Send(endToWire(err))
	}
	defer ans.Body.Close()
	return sendForwardAnswer(str, ans)
}

// receiveForwardRequest reads the request and its body.
func receiveForwardRequest(str *forwardStream) (ForwardRequest, error) {
	frame, err := str.Receive()
	if err != nil {
		return ForwardRequest{}, err
	}
	wre := frame.GetRequest()
	if wre == nil {
		return ForwardRequest{}, unexpectedFrame(frame)
	}
	req := forwardRequestFromWire(wre)
	for len(req.Body) < int(wre.GetBodyBytes()) {
		frame, err := str.Receive()
		if err != nil {
			return ForwardRequest{}, err
		}
		if len(frame.GetData()) == 0 {
			return ForwardRequest{}, unexpectedFrame(frame)
		}
		req.Body = append(req.Body, frame.GetData()...)
	}
	return req, nil
}

// sendForwardAnswer sends the answer's parts as they arrive, and its end.
func sendForwardAnswer(str *forwardStream, ans ForwardAnswer) error {
	head := &peerpb.ForwardHead{Status: uint32(ans.Status), Fields: fieldsToWire(ans.Header)}
	if err := str.Send(&peerpb.ForwardFrame{Part: &peerpb.ForwardFrame_Head{Head: head}}); err != nil {
		return err
	}
	buf := make([]byte, forwardChunk)
	for {
		count, err := ans.Body.Read(buf)
		if count > 0 {
			if serr := str.Send(dataFrame(buf[:count])); serr != nil {
				return serr
			}
		}
		if errors.Is(err, io.EOF) {
			return str.Send(endToWire(nil))
		}
		if err != nil {
			return str.Send(endToWire(err))
		}
	}
}

// CheckEngine implements peerpbconnect.PeerServiceHandler.
func (srv *Server) CheckEngine(ctx context.Context, req *connect.Request[peerpb.CheckEngineRequest]) (*connect.Response[peerpb.CheckEngineResponse], error) {
	if srv.cfg.Forwarder == nil {
		return nil, errNoForwarder
	}
	check := srv.cfg.Forwarder.CheckEngine(ctx, fleet.ParseEngineID(req.Msg.GetEngine()))
	return connect.NewResponse(&peerpb.CheckEngineResponse{Header: headerToWire(srv.cfg.Sessions.Header()), Check: uint32(check)}), nil
}
