package peer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/upstream"
)

// Forwarding is an engine's connection at another host, reserved for one request of this one. Close must be
// called.
type Forwarding struct {
	stream *connect.BidiStreamForClient[peerpb.ForwardFrame, peerpb.ForwardFrame]
	cancel context.CancelFunc
	// rest is the part of the last data frame that has not been read.
	rest []byte
}

// OpenForward asks the host at the address for a connection to an engine, for at most the given time. The
// context bounds the request that is then sent. The error is a *ForwardError, and nothing has been sent.
func (cli *Client) OpenForward(ctx context.Context, adr netip.AddrPort, engine fleet.EngineID, wait time.Duration) (*Forwarding, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(wait, cancel)
	fwd := &Forwarding{stream: cli.stub(adr).Forward(ctx), cancel: cancel}
	cli.cfg.Security.setAuthorization(fwd.stream.RequestHeader())
	err := fwd.open(headerToWire(cli.cfg.Self()), engine)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err == nil {
		return fwd, nil
	}
	fwd.Close()
	return nil, asForwardError(err, ForwardNoPath)
}

func (fwd *Forwarding) open(header *peerpb.Header, engine fleet.EngineID) error {
	opn := &peerpb.ForwardOpen{Header: header, Engine: engine.String()}
	if err := fwd.stream.Send(&peerpb.ForwardFrame{Part: &peerpb.ForwardFrame_Open{Open: opn}}); err != nil {
		return err
	}
	frame, err := fwd.stream.Receive()
	if err != nil {
		return err
	}
	switch part := frame.GetPart().(type) {
	case *peerpb.ForwardFrame_Ready:
		return nil
	case *peerpb.ForwardFrame_End:
		return endFromWire(part.End)
	default:
		return unexpectedFrame(frame)
	}
}

// Send sends the request and returns the engine's answer as soon as its head has arrived. The error is a
// *ForwardError.
func (fwd *Forwarding) Send(req ForwardRequest) (ForwardAnswer, error) {
	if err := fwd.write(req); err != nil {
		return ForwardAnswer{}, asForwardError(err, ForwardBroken)
	}
	frame, err := fwd.stream.Receive()
	if err != nil {
		return ForwardAnswer{}, asForwardError(err, ForwardBroken)
	}
	switch part := frame.GetPart().(type) {
	case *peerpb.ForwardFrame_Head:
		return ForwardAnswer{Status: int(part.Head.GetStatus()), Header: fieldsFromWire(part.Head.GetFields()), Body: fwd}, nil
	case *peerpb.ForwardFrame_End:
		return ForwardAnswer{}, asForwardError(endFromWire(part.End), ForwardBroken)
	default:
		return ForwardAnswer{}, asForwardError(unexpectedFrame(frame), ForwardBroken)
	}
}

// write sends the request. A write error is not final: the host may have answered without reading on.
func (fwd *Forwarding) write(req ForwardRequest) error {
	err := fwd.stream.Send(forwardRequestToWire(req))
	for left := req.Body; err == nil && len(left) > 0; {
		size := min(len(left), forwardChunk)
		err = fwd.stream.Send(dataFrame(left[:size]))
		left = left[size:]
	}
	if err != nil {
		return nil //nolint:nilerr // Receive returns the reason.
	}
	return fwd.stream.CloseRequest()
}

// Read implements io.Reader for the answer's body. It returns io.EOF only at the end of a complete answer.
func (fwd *Forwarding) Read(buf []byte) (int, error) {
	for len(fwd.rest) == 0 {
		frame, err := fwd.stream.Receive()
		if err != nil {
			return 0, asForwardError(err, ForwardBroken)
		}
		switch part := frame.GetPart().(type) {
		case *peerpb.ForwardFrame_Data:
			fwd.rest = part.Data
		case *peerpb.ForwardFrame_End:
			return 0, endFromWire(part.End)
		default:
			return 0, asForwardError(unexpectedFrame(frame), ForwardBroken)
		}
	}
	count := copy(buf, fwd.rest)
	fwd.rest = fwd.rest[count:]
	return count, nil
}

// Close ends the forwarding. A request that is still in progress is aborted at the engine.
func (fwd *Forwarding) Close() error {
	fwd.cancel()
	// A stream that was cancelled returns errors that have no consequence.
	_ = fwd.stream.CloseRequest()
	_ = fwd.stream.CloseResponse()
	return nil
}

// asForwardError returns the error as a *ForwardError, with the given result if it has none of its own.
func asForwardError(err error, result ForwardResult) error {
	var fer *ForwardError
	if errors.As(err, &fer) {
		return fer
	}
	return &ForwardError{Result: result, Detail: err.Error()}
}

// CheckEngine asks the host at the address whether an engine accepts connections.
func (cli *Client) CheckEngine(ctx context.Context, adr netip.AddrPort, engine fleet.EngineID) (upstream.Probe, error) {
	msg := &peerpb.CheckEngineRequest{Header: headerToWire(cli.cfg.Self()), Engine: engine.String()}
	res, err := cli.stub(adr).CheckEngine(ctx, newRequest(cli, msg))
	if err != nil {
		return upstream.ProbeUnknown, err
	}
	return probeFromWire(res.Msg.GetCheck()), nil
}
