// Package call holds a caller's request and an engine's answer as the hosts see
// them, whatever they are named on the wire.
//
// # Usage
//
//	req, err := platform.DecodeRequest(httpRequest)
//	res := reservation.Reserve{PromptTokens: req.PromptTokens, Parts: req.Parts}
package call

import (
	"net/http"
	"time"
)

// Part is one part of a prompt; an engine that holds it, and all parts before
// it, doesn't read it again.
type Part struct {
	// ID is the same for the same text.
	ID     uint64
	Tokens int
}

// Request is one attempt of a caller.
type Request struct {
	// ID is the attempt's own; a caller's repeat has another one.
	ID string
	// Host and Path select the route.
	Host string
	Path string
	// Method and Target are what the engine gets, unaltered.
	Method string
	Target string
	// Key is the caller's key; empty where it sent none.
	Key string
	// Deadline is how long the caller waits from now on; 0 where it told nothing.
	Deadline time.Duration
	// PromptTokens and MaxTokens are the length of the prompt and the most that
	// may be answered; 0 for requests without a prompt.
	PromptTokens int
	MaxTokens    int
	// HintTokens is the caller's guess at the answer's length; 0 for none.
	HintTokens int
	// Parts make up the prompt, in their order.
	Parts []Part
	// LastEvent is the last event that the caller has of a stream it resumes; 0
	// for none.
	LastEvent int64
	// Header goes on to the engine, without what concerns one connection only.
	Header http.Header
	Body   []byte
}

// Tokens returns what the request counts against a limit by tokens; 0 where it
// tells none.
func (req Request) Tokens() int {
	return req.PromptTokens + req.MaxTokens
}

// AnswerHead is what the head of an engine's answer says.
type AnswerHead struct {
	// ID is the request that the answer belongs to; empty where it names none.
	ID string
	// Signed answers come from the engine's work; a success without it isn't one.
	Signed bool
	// NotRun says that the engine did not run the request.
	NotRun bool
	// Running, Waiting and Slots tell the engine's load where HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// IdleLimit is how long the connection may be idle; 0 where it isn't told.
	IdleLimit time.Duration
	// Misdirected says that the request was meant for another engine than the one that
	// answers, and Instance names that one; empty where it doesn't say.
	Misdirected bool
	Instance    string
	// Draining says that the engine leaves.
	Draining bool
	// Backoff is for how long the engine wants nothing more from this host; 0 for no wish.
	// UnreadBackoff is the beginning of such a wish that can't be taken as it stands.
	Backoff       time.Duration
	UnreadBackoff string
	// HasRate says that the engine names a rate: Rate is the most requests a second that it
	// takes from all hosts together. UnreadRate is the beginning of one that can't be taken.
	HasRate    bool
	Rate       float64
	UnreadRate string
	// Cold is for how much longer the engine is cold; 0 for one that doesn't say so. UnreadCold
	// is the beginning of such a word that can't be taken.
	Cold       time.Duration
	UnreadCold string
	// Unknown are the names of headers that nobody reads, in no order.
	Unknown []string
}
