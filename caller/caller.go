// Package caller serves the HTTP API for clients: the list of addresses, chat
// completions in OpenAI's format, and plain services.
//
// # Usage
//
//	srv := caller.NewServer(caller.ServerConfig{Backend: hos, Log: log})
//	http.Serve(lis, srv.Handler())
//
// Clients request GET /v1/addresses and cache the answer for its KeepSeconds. They
// build the id of each request from the prefix that is listed with the address they
// use. A retry carries the same id and may go to any address.
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

// The headers of the clients' API.
const (
	// HeaderID carries the request's id.
	HeaderID = "Idempotency-Key"
	// HeaderDeadline carries the time left for the answer, such as "20s" or "1500ms".
	HeaderDeadline = "Lynxwell-Deadline"
	// HeaderTier selects one of the client account's tiers.
	HeaderTier = "Lynxwell-Tier"
	// HeaderOnce, set to "true", marks a request that must run at most once. Such a
	// request must carry an id.
	HeaderOnce = "Lynxwell-Once"
	// HeaderRequestID carries the request's id in every answer.
	HeaderRequestID = "Lynxwell-Request-Id"
	// HeaderOutcome carries, in an error answer, the request's outcome: whether it ran.
	HeaderOutcome = "Lynxwell-Outcome"
	// HeaderRelayed carries the name of the host that relayed the request.
	HeaderRelayed = "Lynxwell-Relayed"
)

// Addresses is the answer to GET /v1/addresses.
type Addresses struct {
	// View is the number of the membership view.
	View uint64
	// KeepSeconds is how long the answer may be cached.
	KeepSeconds int
	Addresses   []Address
}

// Address is one host that clients may use.
type Address struct {
	Host    string
	Address netip.AddrPort
	Domain  string
	// Prefix is the first part of request ids: an id is Prefix, a hyphen and a part that
	// the client chooses.
	Prefix string
}

// Work is the request to send to an engine or backend server.
type Work interface {
	isWork()
}

// ModelWork is a chat completions request.
type ModelWork struct {
	// Body always requests a stream, even if the client did not.
	Body []byte
}

// PlainWork is a request to a plain service.
type PlainWork struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

func (ModelWork) isWork() {}
func (PlainWork) isWork() {}

// Decision is the gateway's decision on a client's request.
type Decision interface {
	isDecision()
}

// Attached gives the client the request's exchange. Backend.Detach must be called once.
type Attached struct{ Exchange *Exchange }

// Answered gives the client a final answer.
type Answered struct{ Final gateway.Final }

// Relayed has the client's request relayed to another gateway.
type Relayed struct{ To view.Member }

func (Attached) isDecision() {}
func (Answered) isDecision() {}
func (Relayed) isDecision()  {}

// Backend is the part of a host that handles clients' requests.
type Backend interface {
	// Configuration returns the active configuration.
	Configuration() resource.Configuration
	// Account returns the client account that has a key with this digest.
	Account(digest string) (resource.ClientAccount, bool)
	// Addresses returns the hosts that clients may use.
	Addresses() Addresses
	// NewID returns an id for a request that carries none.
	NewID() request.ID
	// Arrive passes a request to the gateway and returns the gateway's decision.
	Arrive(ctx context.Context, arr gateway.Arrived, work Work) (Decision, error)
	// RelayFailed reports that the gateway to which a request was relayed returned no
	// answer, and returns the next decision.
	RelayFailed(ctx context.Context, arr gateway.Arrived, to view.Member, work Work) (Decision, error)
	// Detach reports that an attached client has disconnected or has its answer.
	Detach(id request.ID)
	// WaitUnreachable blocks until the member stops responding or the context ends.
	WaitUnreachable(ctx context.Context, mem view.Member) error
	// Ready reports whether the host accepts requests, and the reason if it doesn't.
	Ready() (bool, string)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Backend Backend
	Log     zerolog.Logger
	// HostName is the name of this host, which is sent with relayed requests.
	HostName string
	// MaxRequests is the maximum number of concurrent requests; 0 means 8192.
	MaxRequests int
}

// Timeouts for slow clients.
const (
	readHeaderTimeout = 10 * time.Second
	readBodyTimeout   = 60 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)
