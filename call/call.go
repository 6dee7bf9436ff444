// Package call defines a client's request and an engine's answer as the hosts process them,
// independent of their form on the wire.
//
// # Usage
//
//	req, err := platform.DecodeRequest(httpRequest)
//	res := reservation.Reserve{PromptTokens: req.PromptTokens, Parts: req.Parts}
package call

import (
	"net/http"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/eventstream"
)

// Part is one part of a prompt. An engine that has cached it, and all parts before it, doesn't
// process it again.
type Part struct {
	// ID is equal for equal texts.
	ID     uint64
	Tokens int
}

// Request is one attempt of a client.
type Request struct {
	// ID identifies the attempt; a client's retry has a different one.
	ID string
	// Host and Path select the route.
	Host string
	Path string
	// Method and Target are passed on to the engine unchanged.
	Method string
	Target string
	// Key is the client's key; empty for none.
	Key string
	// Deadline is how long the client waits from now on if HasDeadline is set.
	HasDeadline bool
	Deadline    time.Duration
	// PromptTokens is the length of the prompt, MaxTokens the maximum length of the answer, if HasTokens
	// is set; both are 0 for requests without a prompt.
	HasTokens    bool
	PromptTokens int
	MaxTokens    int
	// HintTokens is the client's estimate of the answer's length; 0 for none.
	HintTokens int
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// LastEvent is the last event that the client has received of the stream that it resumes;
	// empty for none.
	LastEvent eventstream.ID
	// Resumes is the id of the client's attempt that brought the first event of the stream that it
	// resumes; empty for none.
	Resumes string
	// Header is passed on to the engine, without the hop-by-hop headers.
	Header http.Header
	Body   []byte
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last one, which is the
// request's own or its session's.
func (req Request) SharedParts() []Part {
	return req.Parts[:max(0, len(req.Parts)-1)]
}

// PartIDs returns the ids of at most the given number of parts, in hexadecimal digits, for the log.
func PartIDs(parts []Part, limit int) []string {
	var ids []string
	for _, par := range parts[:min(limit, len(parts))] {
		ids = append(ids, strconv.FormatUint(par.ID, 16))
	}
	return ids
}

// Tokens returns the number of tokens that the request counts against a limit on tokens; false if it doesn't state them.
func (req Request) Tokens() (int, bool) {
	return req.PromptTokens + req.MaxTokens, req.HasTokens
}

// AnswerHead is the decoded status and headers of an engine's answer.
type AnswerHead struct {
	// ID is the id of the request that the answer belongs to; empty if it carries none.
	ID string
	// Signed is set if the answer carries the engine's signature, which shows that the engine
	// produced it. A success without a signature isn't accepted as one.
	Signed bool
	// NotRun is set if the engine didn't run the request.
	NotRun bool
	// Running, Waiting and Slots are the engine's load if HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// IdleLimit is how long the connection may be idle if HasIdleLimit is set.
	HasIdleLimit bool
	IdleLimit    time.Duration
	// Misdirected is set if the request was intended for an engine other than the one that
	// answered. Instance identifies the engine that answered; empty if the answer doesn't state it.
	Misdirected bool
	Instance    string
	// Draining is set if the engine is draining.
	Draining bool
	// Backoff is how long this host should send the engine no requests; 0 for no backoff.
	// InvalidBackoff is the beginning of a header value that isn't a valid backoff.
	Backoff        time.Duration
	InvalidBackoff string
	// Brittle is set if the engine falls over when it has to reject more than BrittleLimit requests in a
	// second. InvalidBrittle is the beginning of a header value that isn't a valid limit.
	Brittle        bool
	BrittleLimit   int
	InvalidBrittle string
	// HasRate is set if the answer carries a rate limit. Rate is the limit in requests per
	// second, from all hosts together. InvalidRate is the beginning of an invalid value.
	HasRate     bool
	Rate        float64
	InvalidRate string
	// Cold is how much longer the engine is cold; 0 if the answer doesn't state it. InvalidCold
	// is the beginning of an invalid value.
	Cold        time.Duration
	InvalidCold string
	// UnrecognizedHeaders are the names of unrecognized headers, in no particular order.
	UnrecognizedHeaders []string
}
