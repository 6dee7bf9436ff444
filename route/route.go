// Package route holds the configuration that operators put in force for the
// hosts: which service answers which requests, for whom, and within what.
//
// # Usage
//
//	tab, err := route.NewTable(con)
//	rou, found := tab.Match("menus.example", "/rebuild/17")
//	svc := rou.Pick(point)
//	acc, known := tab.Account(key)
//
// A Table is immutable: a newer configuration makes a new one.
package route

import (
	"time"
)

// Kind says how often a request of a route may be run.
type Kind uint8

// The kinds of requests.
const (
	// KindUnsafe may run at most once for each request.
	KindUnsafe Kind = iota
	// KindSafe may run more than once.
	KindSafe
	// KindStreaming answers with a stream of events, and counts as unsafe unless
	// its route is resumable.
	KindStreaming
)

// String returns the kind's name.
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

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is compared with the other shares' weights.
	Weight uint32
}

// Route says how the requests under one host name and path are served.
type Route struct {
	Name string
	// Host is the host name that callers ask for, without a port.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Shares are the services that answer; there is at least one.
	Shares []Share
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Aim is within what time an answer, or its first event, is in time.
	Aim time.Duration
	// PauseAim is the longest pause between events of a stream in time; 0 where
	// the route doesn't stream.
	PauseAim time.Duration
	// Rank orders requests that wait: 0 goes first.
	Rank int
	// MaxAttempts is how many engines one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky routes name the parts of their prompts, which engines cache.
	Sticky bool
	// Resumable streams may go on at another engine after the last event.
	Resumable bool
	// Regions are those in which requests may be served and held; none for all.
	Regions []string
}

// Repeatable reports whether a request may run again after it may have run.
func (rou Route) Repeatable() bool {
	return rou.Kind == KindSafe || (rou.Kind == KindStreaming && rou.Resumable)
}

// Pick returns the service for a point of the request, any number that is spread
// evenly over the requests, as a hash of the id.
func (rou Route) Pick(point uint64) string {
	var total uint64
	for _, sha := range rou.Shares {
		total += uint64(sha.Weight)
	}
	if total == 0 {
		return rou.Shares[0].Service
	}
	left := point % total
	for _, sha := range rou.Shares {
		if left < uint64(sha.Weight) {
			return sha.Service
		}
		left -= uint64(sha.Weight)
	}
	return rou.Shares[0].Service
}

// Service is what operators say of a service's engines or backend servers.
type Service struct {
	Name string
	// MaxConnections is how many connections one of its servers takes from all
	// hosts together.
	MaxConnections int
	// Model is set for services of language-model engines.
	Model *Model
	// ColdFor is for how long an engine is cold after its start, and ColdRate how many requests
	// a second it bears meanwhile; 0 where that is no matter.
	ColdFor  time.Duration
	ColdRate float64
}

// Model is what operators say of the engines of a service.
type Model struct {
	// Slots is how many requests an engine works on at a time.
	Slots int
	// CacheTokens is how many tokens an engine's memory holds, running requests
	// and cached parts together.
	CacheTokens int
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens int
}

// Account is a client account: who holds which keys, and how much it may ask for.
type Account struct {
	Name string
	Keys []string
	// Rank replaces the route's rank where it is set.
	Rank *int
	// Rate and Burst limit the account over all hosts, in units a second and in
	// units; Rate 0 is no limit.
	Rate  float64
	Burst float64
	// ByTokens has a request count its tokens, else it counts 1.
	ByTokens bool
	// PlainTokens is what a request counts that tells no tokens.
	PlainTokens int
	// Regions are those in which its requests may be served and held; none for all.
	Regions []string
}

// Cost returns how many units of the account's limit a request takes; tokens is
// 0 where the request tells none.
func (acc Account) Cost(tokens int) float64 {
	switch {
	case !acc.ByTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(acc.PlainTokens)
	}
}

// Limits bound what callers may send and how long they may be idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one whole version of what operators have put in force.
type Configuration struct {
	// Version grows with each change, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
