// Package route holds the configuration that operators set for all hosts: which service
// answers which requests, for which client accounts, and within which limits.
//
// # Usage
//
//	tab, err := route.NewTable(con)
//	rou, found := tab.Match("menus.example", "/rebuild/17")
//	svc := rou.Pick(point)
//	acc, known := tab.Account(key)
//
// A Table is immutable and safe for concurrent use; each configuration has its own.
package route

import (
	"time"
)

// Kind is how often a request of a route may run.
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

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
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
	// Timeout is the longest time for which a request may be held.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream, should
	// arrive.
	LatencyTarget time.Duration
	// EventGapTarget is the longest gap that should occur between events of a stream; 0 if the
	// route doesn't stream.
	EventGapTarget time.Duration
	// Rank orders waiting requests; 0 is served first.
	Rank int
	// MaxAttempts is the number of engines that one request may be sent to.
	MaxAttempts int
	// Public is set if requests need no key.
	Public bool
	// Sticky is set if requests identify the parts of their prompts, which engines cache.
	Sticky bool
	// Resumable is set if another engine may continue a stream after its last event.
	Resumable bool
	// Regions are those in which requests may be served and held; empty for all.
	Regions []string
}

// Repeatable reports whether a request may be sent to another engine although it may already
// have run.
func (rou Route) Repeatable() bool {
	return rou.Kind == KindSafe || (rou.Kind == KindStreaming && rou.Resumable)
}

// Pick returns the service that answers a request, in proportion to the weights. point is a
// number that is evenly distributed over the requests, such as a hash of the id.
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
	// per second that a cold engine can serve. Both are 0 if engines need no warm-up.
	ColdFor  time.Duration
	ColdRate float64
}

// Model is the configuration of the language-model engines of a service.
type Model struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's memory in tokens, shared by running requests
	// and cached prompt parts.
	CacheTokens int
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
}

// Account is a client account, with its keys and its limits.
type Account struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route if it is set.
	Rank *int
	// Rate and Burst limit the account's requests over all hosts, in units per second and in
	// units; Rate 0 means no limit.
	Rate  float64
	Burst float64
	// ByTokens is set if the units are tokens; otherwise each request counts as 1.
	ByTokens bool
	// DefaultTokens is the cost of a request that doesn't state its tokens.
	DefaultTokens int
	// Regions are those in which the account's requests may be served and held; empty for all.
	Regions []string
}

// Cost returns the number of units that a request counts against the account's limit; tokens is
// 0 if the request doesn't state them.
func (acc Account) Cost(tokens int) float64 {
	switch {
	case !acc.ByTokens:
		return 1
	case tokens > 0:
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

// Configuration is one complete version of the operators' configuration.
type Configuration struct {
	// Version increases with each change, not necessarily by 1.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
