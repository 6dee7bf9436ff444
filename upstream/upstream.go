// Package upstream speaks HTTP/1.1 to engines and backend servers, on
// connections whose every byte is accounted for: an answer that belongs to
// another request, or comes unasked, never reaches a caller.
//
// # Usage
//
//	cli := upstream.NewClient(upstream.ClientConfig{})
//	ans, err := cli.Do(ctx, upstream.Call{Endpoint: end, ID: id, Head: platform.DecodeAnswer, ...})
//	var nse *upstream.NotSentError // nothing left this host
//	defer ans.Close()
//	body, err := io.ReadAll(ans.Body)
//
// A call is sent once: nothing in this package repeats it.
package upstream

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
)

// ClientConfig holds what a Client is made from.
type ClientConfig struct {
	// DialTimeout bounds the making of a connection; 0 stands for 1 s.
	DialTimeout time.Duration
	// Decode reads an answer's head.
	Decode func(status int, header http.Header) call.AnswerHead
	// Now tells the time that idle connections count by; nil stands for time.Now.
	Now func() time.Time
	// Dialed is called for each new connection; nil for nobody.
	Dialed func()
	// Heard is called with the head of each answer of an engine, also of one that belongs
	// to another request, before anything of it is passed on; nil for nobody.
	Heard func(Heard)
}

const (
	// defaultDialTimeout leaves a lost opening packet no time to be sent again,
	// which takes a second or more: another engine is faster.
	defaultDialTimeout = time.Second
	// defaultIdleLimit is how long a connection is kept whose peer tells no limit.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how much sooner than the peer's limit a connection is retired:
	// the limit is told in whole seconds, and a request is on its way for some ms.
	idleMargin = 1200 * time.Millisecond
	// bufferBytes holds an answer's head and a few events.
	bufferBytes = 4 << 10
	// maxStray is how many answers of other requests are passed over.
	maxStray = 4
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
	// smallBodyBytes is what is written before the answer is read; more might
	// fill the windows while the engine already answers.
	smallBodyBytes = 2 << 10
)

// Endpoint is one run of an engine at its address. Connections are kept by it: what was
// opened to a former run never carries a request for the later one.
type Endpoint struct {
	Address netip.AddrPort
	Engine  fleet.EngineID
}

// Heard is the head of an answer that came on a connection to an engine.
type Heard struct {
	Endpoint
	Head call.AnswerHead
	// Sent is when the request was written whose answer was waited for; Stray says that this
	// one belongs to another request.
	Sent  time.Time
	Stray bool
}

// Call is a request to an engine.
type Call struct {
	Endpoint
	// ID is the request's id, which the answer must carry.
	ID     string
	Method string
	// Target is the request's path and query as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Check is asked right before anything is written, since what allowed the call may have
	// lapsed while a connection was made; nil for nobody. What it returns ends the call.
	Check func() error
	// Written is called once after Check allowed the call, when its request is written or never
	// will be; nil for nobody.
	Written func()
}

// NotSentError reports a call of which nothing left this host.
type NotSentError struct {
	Address netip.AddrPort
	Cause   error
}

// Error names the address and the cause.
func (nse *NotSentError) Error() string {
	return "upstream: " + nse.Address.String() + ": not sent: " + nse.Cause.Error()
}

// Unwrap returns the cause.
func (nse *NotSentError) Unwrap() error { return nse.Cause }

// BrokenError reports a call that was sent, at least in part, and got no answer.
type BrokenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error names the address and the cause.
func (ber *BrokenError) Error() string {
	return "upstream: " + ber.Address.String() + ": no answer: " + ber.Cause.Error()
}

// Unwrap returns the cause.
func (ber *BrokenError) Unwrap() error { return ber.Cause }

// RunEndedError reports a connection to a run of an engine that has ended, since the
// engine has started again.
type RunEndedError struct {
	Endpoint Endpoint
}

// Error names the run.
func (ree *RunEndedError) Error() string {
	return "engine " + ree.Endpoint.Engine.String() + " has started again"
}

// StrayError reports answers that all belong to other requests.
type StrayError struct {
	ID string
}

// Error names the id of the last one.
func (ser *StrayError) Error() string {
	return "answer of another request: " + ser.ID
}

// AnswerTooLargeError reports an answer beyond what is taken.
type AnswerTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

// Error names the limit.
func (atl *AnswerTooLargeError) Error() string {
	return "answer is over " + strconv.FormatInt(atl.Limit, 10) + " bytes"
}
