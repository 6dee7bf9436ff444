// Package upstream is the HTTP/1.1 client for engines and backend servers. It
// reuses a connection only if every byte received on the connection belongs to
// a request: an answer to another request, or an unsolicited one, never reaches
// a client.
//
// # Usage
//
//	cli := upstream.NewClient(upstream.ClientConfig{Decode: platform.DecodeAnswer})
//	ans, err := cli.Do(ctx, upstream.Call{Endpoint: end, ID: id, Method: http.MethodPost, ...})
//	var nse *upstream.NotSentError // errors.As(err, &nse): no byte was sent
//	defer ans.Close()
//	body, err := ans.ReadAll(limit) // or upstream.NewEventReader(ans.Body), then ans.MarkComplete()
//
// A call is sent at most once: this package never retries.
package upstream

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dialer opens the connections; nil means TCP with the package's time limits for dead peers.
	Dialer Dialer
	// DialTimeout bounds connection establishment; 0 means 1 s.
	DialTimeout time.Duration
	// Decode decodes an answer's head.
	Decode func(status int, header http.Header) call.AnswerHead
	// Now is the clock for idle connections and for HeadReceived.Sent; nil means time.Now.
	Now func() time.Time
	// Dialed, if not nil, is called for each new connection.
	Dialed func()
	// DialFailed, if not nil, is called with the result of each dial that opened no connection.
	DialFailed func(DialResult)
	// HeadReceived, if not nil, is called with the head of each answer of an engine before
	// any of the answer is passed on. This includes answers that belong to another request, but
	// not informational answers (status 1xx).
	HeadReceived func(HeadReceived)
}

const (
	// defaultDialTimeout doesn't wait for TCP to retransmit a lost SYN, which takes one second
	// or more; a retry on another engine is faster.
	defaultDialTimeout = time.Second
	// defaultIdleLimit is how long an idle connection is kept if the peer sends no limit.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how long before the peer's idle limit a connection is no longer reused: the
	// limit is sent in whole seconds, and a request takes some milliseconds to arrive.
	idleMargin = 1200 * time.Millisecond
	// bufferBytes is enough for an answer's head and a few events.
	bufferBytes = 4 << 10
	// maxAnswersPerCall bounds the number of answers read for a call, including skipped answers
	// to other requests and informational ones.
	maxAnswersPerCall = 4
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// smallBodyBytes is the largest body that is written before the answer is read. A larger
	// one is written concurrently, since it might fill the TCP windows and block while the engine
	// already sends its answer.
	smallBodyBytes = 2 << 10
)

// Endpoint is one run of an engine at its address. Idle connections are kept per endpoint:
// a connection to an earlier run never carries a request for a later one.
type Endpoint struct {
	Address netip.AddrPort
	Engine  fleet.EngineID
}

// HeadReceived is the head of an answer received from an engine.
type HeadReceived struct {
	Endpoint
	Head call.AnswerHead
	// Sent is when the client began to write the pending request.
	Sent time.Time
	// Stray is set if the answer belongs to a request other than the pending one.
	Stray bool
}

// Call is a request to an engine.
type Call struct {
	Endpoint
	// ID is the request's id, which a successful answer must carry.
	ID     string
	Method string
	// Target is the request's path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Check, if not nil, is called right before anything is written, since the permission for
	// the call may have expired while the connection was established. If Check returns an
	// error, the call fails with a *NotSentError.
	Check func() error
	// Written, if not nil, is called once if Check allowed the call, when the request has been
	// written or writing has failed.
	Written func()
}

// NotSentError reports a call of which no byte was sent.
type NotSentError struct {
	Address netip.AddrPort
	Cause   error
}

// Error returns the address and the cause.
func (nse *NotSentError) Error() string {
	return "upstream: " + nse.Address.String() + ": request not sent: " + nse.Cause.Error()
}

// Unwrap returns the cause.
func (nse *NotSentError) Unwrap() error { return nse.Cause }

// BrokenError reports a call that received no valid answer after writing to the engine had begun,
// so that the engine may have received the request.
type BrokenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error returns the address and the cause.
func (ber *BrokenError) Error() string {
	return "upstream: " + ber.Address.String() + ": request may have been sent, no valid answer: " + ber.Cause.Error()
}

// Unwrap returns the cause.
func (ber *BrokenError) Unwrap() error { return ber.Cause }

// RunEndedError reports a connection to an engine run that has ended because the engine
// was restarted.
type RunEndedError struct {
	Endpoint Endpoint
}

// Error returns the engine run.
func (ree *RunEndedError) Error() string {
	return "engine run " + ree.Endpoint.Engine.String() + " ended: the engine was restarted"
}

// StrayError reports that all answers read belong to other requests, or that an answer with a
// status below 400 has no request id.
type StrayError struct {
	// ID is the request id of the last answer read; empty if that answer has none.
	ID string
}

// Error returns the request id of the last answer.
func (ser *StrayError) Error() string {
	return "answer does not match the request: the request id of the answer (empty if it has none) is " + ser.ID
}

// AnswerTooLargeError reports an answer body over the size limit.
type AnswerTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

// Error returns the limit.
func (atl *AnswerTooLargeError) Error() string {
	return "answer body is larger than the limit of " + strconv.FormatInt(atl.Limit, 10) + " bytes"
}
