package peer

import (
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/upstream"
)

// ForwardRequest is a request that another host sends to an engine for this one.
type ForwardRequest struct {
	ID     string
	Method string
	// Target is the request's path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Key is the client's key, which the forwarding host checks again; empty if Public is set.
	Key    string
	Public bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Rate and Cold are those of the grant. SinceRequested and SinceGranted are the times since the
	// grant was requested and since it arrived.
	Rate           reservation.GrantRate
	Cold           bool
	SinceRequested time.Duration
	SinceGranted   time.Duration
}

// ForwardAnswer is an engine's answer. Body returns io.EOF only if it is complete, and a *ForwardError
// otherwise; it must be closed.
type ForwardAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// ForwardResult is how a forwarded request ended.
type ForwardResult uint8

const (
	// ForwardComplete means that the answer is complete.
	ForwardComplete ForwardResult = iota
	// ForwardNoPath means that the host can't forward: nothing was sent, and nothing is known of the
	// engine.
	ForwardNoPath
	// ForwardUnreachable means that the engine can't be reached, while others can: nothing was sent.
	ForwardUnreachable
	// ForwardBlocked means that the engine must not get the request from the host now: nothing was sent.
	ForwardBlocked
	// ForwardBroken means that the engine may have received the request, but gave no complete answer.
	ForwardBroken
)

// String returns the result's name in the log and in the names of counters.
func (fre ForwardResult) String() string {
	names := [...]string{"Complete", "NoPath", "Unreachable", "Blocked", "Broken"}
	if int(fre) >= len(names) {
		return "Invalid"
	}
	return names[fre]
}

// ForwardError reports a request that was forwarded without a complete answer.
type ForwardError struct {
	Result ForwardResult
	// Detail is the forwarding host's error.
	Detail string
	// EndedByEngine is set if the engine ended the connection, and Check is then whether it still accepts
	// connections.
	EndedByEngine bool
	Check         upstream.Probe
	// EngineFailed is set if the forwarding host reaches other engines, so that the failure is the engine's.
	EngineFailed bool
}

// Error implements error.
func (fer *ForwardError) Error() string {
	return "forwarding through another host: " + fer.Result.String() + ": " + fer.Detail
}

// forwardChunk is the size of the parts in which bodies are sent: small enough not to be compressed.
const forwardChunk = compressMinBytes - 256

func endToWire(err error) *peerpb.ForwardFrame {
	end := &peerpb.ForwardEnd{}
	var fer *ForwardError
	switch {
	case errors.As(err, &fer):
		end.Result, end.Detail = uint32(fer.Result), fer.Detail
		end.EndedByEngine, end.Check, end.EngineFailed = fer.EndedByEngine, uint32(fer.Check), fer.EngineFailed
	case err != nil:
		end.Result, end.Detail = uint32(ForwardBroken), err.Error()
	}
	return &peerpb.ForwardFrame{Part: &peerpb.ForwardFrame_End{End: end}}
}

// endFromWire returns io.EOF for the end of a complete answer, and a *ForwardError otherwise. A result that
// this version doesn't know counts as broken: the engine may have received the request.
func endFromWire(end *peerpb.ForwardEnd) error {
	result := ForwardBroken
	if end.GetResult() <= uint32(ForwardBroken) {
		result = ForwardResult(end.GetResult())
	}
	if result == ForwardComplete {
		return io.EOF
	}
	return &ForwardError{Result: result, Detail: end.GetDetail(), EndedByEngine: end.GetEndedByEngine(), Check: probeFromWire(end.GetCheck()), EngineFailed: end.GetEngineFailed()}
}

func probeFromWire(check uint32) upstream.Probe {
	if check > uint32(upstream.ProbeRefused) {
		return upstream.ProbeUnknown
	}
	return upstream.Probe(check)
}

func fieldsToWire(header http.Header) []*peerpb.ForwardField {
	var fields []*peerpb.ForwardField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &peerpb.ForwardField{Name: name, Value: value})
		}
	}
	return fields
}

func fieldsFromWire(fields []*peerpb.ForwardField) http.Header {
	header := make(http.Header, len(fields))
	for _, fld := range fields {
		header[fld.GetName()] = append(header[fld.GetName()], fld.GetValue())
	}
	return header
}

func forwardRequestToWire(req ForwardRequest) *peerpb.ForwardFrame {
	return &peerpb.ForwardFrame{Part: &peerpb.ForwardFrame_Request{Request: &peerpb.ForwardRequest{
		Id: req.ID, Method: req.Method, Target: req.Target, Host: req.Host, Fields: fieldsToWire(req.Header),
		Key: req.Key, Public: req.Public, RemainingUs: req.Remaining.Microseconds(), Rate: uint32(req.Rate), Cold: req.Cold,
		GrantedUs: req.SinceGranted.Microseconds(), RequestedUs: req.SinceRequested.Microseconds(), BodyBytes: uint32(len(req.Body)),
	}}}
}

func forwardRequestFromWire(wre *peerpb.ForwardRequest) ForwardRequest {
	return ForwardRequest{
		ID: wre.GetId(), Method: wre.GetMethod(), Target: wre.GetTarget(), Host: wre.GetHost(), Header: fieldsFromWire(wre.GetFields()),
		Key: wre.GetKey(), Public: wre.GetPublic(), Remaining: fromMicros(wre.GetRemainingUs()),
		Rate: grantRateFromWire(wre.GetRate()), Cold: wre.GetCold(),
		SinceGranted: fromMicros(wre.GetGrantedUs()), SinceRequested: fromMicros(wre.GetRequestedUs()),
	}
}

func dataFrame(data []byte) *peerpb.ForwardFrame {
	return &peerpb.ForwardFrame{Part: &peerpb.ForwardFrame_Data{Data: data}}
}

// unexpectedFrame reports a frame that doesn't belong at its place in the stream.
func unexpectedFrame(frame *peerpb.ForwardFrame) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.Newf("unexpected frame %T", frame.GetPart()))
}
