// Package resource holds what operators declare: services, engines, tiers and
// client accounts, and the configuration that they make up together.
//
// # Usage
//
//	set, err := resource.ParseSet("menus.json", data) // a file of resources
//	next, err := conf.With(change)                    // a changed configuration
//	problems := next.Check()                          // what keeps it from being accepted
//
// A configuration is one immutable value under one revision; nodes only ever
// go to a higher one.
package resource

import (
	"fmt"
	"net/netip"

	"lynxwell.dev/lynxwell/format"
)

// Kind names one of the four kinds of resource.
type Kind string

// The kinds of resource.
const (
	KindService       Kind = "Service"
	KindEngine        Kind = "Engine"
	KindTier          Kind = "Tier"
	KindClientAccount Kind = "ClientAccount"
)

// Kinds lists every kind in the order in which they refer to one another.
func Kinds() []Kind {
	return []Kind{KindTier, KindService, KindEngine, KindClientAccount}
}

// ParseKind reads a kind's name.
func ParseKind(text string) (Kind, error) {
	for _, kin := range Kinds() {
		if string(kin) == text {
			return kin, nil
		}
	}
	return "", &KindError{Text: text}
}

// KindError reports a name that is no kind of resource.
type KindError struct {
	// Text is what was given.
	Text string
}

// Error names the text and the kinds there are.
func (ker *KindError) Error() string {
	return fmt.Sprintf("%q is no kind of resource, want one of %v", ker.Text, Kinds())
}

// Resource is one declared thing: a Service, Engine, Tier or ClientAccount.
type Resource interface {
	// Key returns the kind and the name.
	Key() Key
	// isResource keeps the set of resources closed.
	isResource()
}

// Key identifies a resource.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as KIND/NAME.
func (key Key) String() string {
	return string(key.Kind) + "/" + key.Name
}

// Protocol is what the engines of a service speak.
type Protocol string

// The protocols of services.
const (
	// ProtocolModel is the chat completions protocol of language-model engines.
	ProtocolModel Protocol = "Model"
	// ProtocolPlain is any HTTP service.
	ProtocolPlain Protocol = "Plain"
)

// Service is a model or a plain service that callers may ask for by name.
type Service struct {
	// Name is the model name in requests, or the name under /services/.
	Name string
	// Protocol is what the engines speak.
	Protocol Protocol
	// MaxBodyBytes bounds a request's body; 0 stands for 1 MiB.
	MaxBodyBytes int64
	// DefaultDeadline bounds a request that names none; 0 stands for 60 s.
	DefaultDeadline format.Duration
	// MaxWaiting bounds the line at each coordinator; 0 stands for 256.
	MaxWaiting int
}

// Engine is a backend server of one service.
type Engine struct {
	// Name identifies the engine.
	Name string
	// Service is the service that it belongs to.
	Service string
	// Address is where it listens.
	Address netip.AddrPort
	// Slots is how many requests it runs at once.
	Slots int
	// PrefillTokensPerSecond is the speed to start from; it is corrected by
	// what completions show. 0 stands for 4000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the speed of one stream to start from, likewise.
	// 0 stands for 40.
	DecodeTokensPerSecond float64
	// Leaving is set by operators before the server goes: it gets no new work.
	Leaving bool
}

// Tier is a class of urgency.
type Tier struct {
	// Name identifies the tier.
	Name string
	// Rank orders tiers; the highest is served first.
	Rank int
}

// ClientAccount is a party that sends requests.
type ClientAccount struct {
	// Name identifies the account.
	Name string
	// KeyDigests are the SHA-256 digests, in hexadecimal, of its bearer keys.
	KeyDigests []string
	// Tiers are the tiers that it may ask for; the first one is the default.
	Tiers []string
	// Services are the services that it may use; empty stands for all.
	Services []string
	// Weight is its share of busy engines against other accounts; 0 stands for 1.
	Weight float64
	// RequestsPerSecond bounds its rate over the whole system; 0 is no bound.
	RequestsPerSecond float64
	// MaxInFlight bounds its requests in flight over the whole system; 0 is no bound.
	MaxInFlight int
}

// Key returns the kind and the name.
func (ser Service) Key() Key { return Key{KindService, ser.Name} }

// Key returns the kind and the name.
func (eng Engine) Key() Key { return Key{KindEngine, eng.Name} }

// Key returns the kind and the name.
func (tie Tier) Key() Key { return Key{KindTier, tie.Name} }

// Key returns the kind and the name.
func (acc ClientAccount) Key() Key { return Key{KindClientAccount, acc.Name} }

func (Service) isResource()       {}
func (Engine) isResource()        {}
func (Tier) isResource()          {}
func (ClientAccount) isResource() {}
