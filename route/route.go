// Package route defines the configuration that operators set for all hosts: which service
// answers which requests, for which client accounts, and within which limits.
//
// # Usage
//
//	tab, err := route.NewTable(con)
//	rou, found := tab.Match("menus.example", "/rebuild/17") // the route of a request
//	svc := rou.Pick(point)                                 // the service that answers the request
//	acc, known := tab.Account(key)                         // the account that holds a key
//
// A Table is immutable and safe for concurrent use; each configuration has its own.
package route

import (
	"time"
)

// Kind states whether a request of a route may run more than once, and whether the answer is a
// stream.
type Kind uint8

// The kinds of requests.
const (
	// KindUnsafe requests may run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests are answered with a stream of events. They are unsafe unless the
	// route is resumable.
	KindStreaming
)

// String returns the name of the kind.
func (kin Kind) String() string {
	switch kin {
	case KindUnsafe:
		return "Unsafe"
	case KindSafe:
		return "Safe"
	case KindStreaming:
		return "Streaming"
	default:
		return "Invalid"
	}
}

// Share assigns a share of a route's requests to one service.
type Share struct {
	Service string
	// Weight is the size of the share, relative to the weights of the route's other shares.
	Weight uint32
}

// Route defines how the requests for one host name and path prefix are served.
type Route struct {
	Name string
	// Host is the host name that clients request, without a port.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Shares are the services that answer the requests; there is at least one.
	Shares []Share
	// Timeout is the maximum time for which a host may hold a request.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream, should
	// arrive.
	LatencyTarget time.Duration
	// EventGapTarget is the longest gap that should occur between events of a stream; 0 if the
	// route doesn't stream.
	EventGapTarget time.Duration
	// Rank orders waiting requests; 0 is served first.
	Rank int
	// MaxAttempts is the maximum number of engines to which one request may be sent.
	MaxAttempts int
	// Public is set if requests need no key.
	Public bool
	// Sticky is set if requests identify the parts of their prompts, which engines cache.
	Sticky bool
	// Resumable is set if another engine can continue an interrupted stream after the most
	// recent event.
	Resumable bool
	// Regions are the regions in which requests may be served and held; empty means all.
	Regions []string
}

// Repeatable reports whether a request that may already have run may be sent to another engine.
func (rou Route) Repeatable() bool {
	return rou.Kind == KindSafe || (rou.Kind == KindStreaming && rou.Resumable)
}

// Pick returns the service that answers a request, in proportion to the weights, or the first
// service if all weights are 0. point must be uniformly distributed over the requests, as a
// hash of their ids is.
func (rou Route) Pick(point uint64) string {
	var total uint64
	for _, sha := range rou.Shares {
		total += uint64(sha.Weight)
	}
	if total == 0 {
		return rou.Shares[0].Service
	}
	rest := point % total
	for _, sha := range rou.Shares {
		if rest < uint64(sha.Weight) {
			return sha.Service
		}
		rest -= uint64(sha.Weight)
	}
	return rou.Shares[0].Service
}

// Service is the configuration of a service's engines or backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one server accepts from all hosts
	// together.
	MaxConnections int
	// Model is set for services with language-model engines.
	Model *Model
	// ColdFor is how long an engine is cold after its start. ColdRate is the number of requests
	// per second that a cold engine can serve. Both are 0 if the engines need no warm-up.
	ColdFor  time.Duration
	ColdRate float64
}

// Model is the configuration of the language-model engines of a service.
type Model struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's cache in tokens. Running requests and cached
	// parts of prompts share it.
	CacheTokens int
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
}

// Account is a client account, with its keys and its limits.
type Account struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route unless it is nil.
	Rank *int
	// Rate and Burst limit the account's requests over all hosts. Rate is in units per second
	// and 0 means no limit; Burst is in units.
	Rate  float64
	Burst float64
	// ByTokens is set if the units are tokens; otherwise each request counts as 1.
	ByTokens bool
	// DefaultTokens is the cost, in tokens, of a request that doesn't state its tokens.
	DefaultTokens int
	// Regions are the regions in which the account's requests may be served and held; empty
	// means all.
	Regions []string
}

// Cost returns the number of units by which a request counts towards the account's limit, by the tokens
// that it states.
func (acc Account) Cost(tokens int, stated bool) float64 {
	switch {
	case !acc.ByTokens:
		return 1
	case stated:
		return float64(tokens)
	default:
		return float64(acc.DefaultTokens)
	}
}

// Limits bounds the size of clients' requests and the time that clients may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the configuration that operators set.
type Configuration struct {
	// Version increases with each change, not necessarily by 1.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
