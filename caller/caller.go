// Package caller serves the callers' HTTP interface: the addresses to use, chat
// completions in the OpenAI shape, and plain services.
//
// # Usage
//
//	srv := caller.NewServer(caller.ServerConfig{Backend: hos, Log: log})
//	http.Serve(lis, srv.Handler())
//
// Callers ask GET /v1/addresses, keep the answer for the time it names, and
// build the id of each request from the prefix beside the address they use. A
// repeat carries the same id, to whichever address.
package caller

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// The headers of the callers' interface.
const (
	// HeaderID carries the request's id.
	HeaderID = "Idempotency-Key"
	// HeaderDeadline carries the time left for the answer, as "20s" or "1500ms".
	HeaderDeadline = "Lynxwell-Deadline"
	// HeaderTier names one of the account's tiers.
	HeaderTier = "Lynxwell-Tier"
	// HeaderOnce, "true", marks a request that must not be repeated; it needs an id.
	HeaderOnce = "Lynxwell-Once"
	// HeaderRequestID names the request's id in every answer.
	HeaderRequestID = "Lynxwell-Request-Id"
	// HeaderOutcome tells of a request without a whole answer whether it ran.
	HeaderOutcome = "Lynxwell-Outcome"
	// HeaderRelayed is set by a host that passes a request on.
	HeaderRelayed = "Lynxwell-Relayed"
)

// Addresses is the answer to GET /v1/addresses.
type Addresses struct {
	// View numbers the membership view.
	View uint64
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds int
	Addresses   []Address
}

// Address is one host that callers may use.
type Address struct {
	Host    string
	Address netip.AddrPort
	Domain  string
	// Prefix, a hyphen and a part of the caller's own make a request's id.
	Prefix string
}

// Work is what is to be sent to an engine.
type Work interface {
	isWork()
}

// ModelWork is a chat completions request.
type ModelWork struct {
	// Body asks for a stream, whatever the caller wants.
	Body []byte
}

// PlainWork is a call of a plain service.
type PlainWork struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

func (ModelWork) isWork() {}
func (PlainWork) isWork() {}

// Decision is what the gateway says to a caller's request.
type Decision interface {
	isDecision()
}

// Attached gives the caller the request's exchange. Left must be called once.
type Attached struct{ Exchange *Exchange }

// Answered gives the caller a final answer.
type Answered struct{ Final gateway.Final }

// Relayed sends the caller's request to another gateway.
type Relayed struct{ To view.Member }

func (Attached) isDecision() {}
func (Answered) isDecision() {}
func (Relayed) isDecision()  {}

// Backend is the host as far as callers are concerned.
type Backend interface {
	// Configuration returns the configuration in force.
	Configuration() resource.Configuration
	// Account returns the client account whose key has the digest.
	Account(digest string) (resource.ClientAccount, bool)
	// Addresses returns the hosts to use.
	Addresses() Addresses
	// NewID returns an id for a request without one.
	NewID() request.ID
	// Arrive has the gateway decide about a request.
	Arrive(ctx context.Context, arr gateway.Arrived, work Work) (Decision, error)
	// RelayFailed says that nothing came from the gateway that a request was
	// relayed to.
	RelayFailed(ctx context.Context, arr gateway.Arrived, to view.Member, work Work) (Decision, error)
	// Left says that an attached caller is gone or has its answer.
	Left(id request.ID)
	// Alive waits until the member doesn't answer any more, or the context ends.
	Alive(ctx context.Context, mem view.Member) error
	// Ready reports whether the host takes requests, and if not, why.
	Ready() (bool, string)
}

// ServerConfig holds what a Server is made from.
type ServerConfig struct {
	Backend Backend
	Log     zerolog.Logger
	// HostName names this host to those that requests are relayed to.
	HostName string
	// MaxRequests bounds the requests served at once; 0 stands for 8192.
	MaxRequests int
}

// Limits on slow callers.
const (
	readHeaderTimeout = 10 * time.Second
	readBodyTimeout   = 60 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)
