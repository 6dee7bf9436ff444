// Package resource defines the resources that operators declare (services, engines, tiers
// and client accounts) and the configuration that consists of them.
//
// # Usage
//
//	set, err := resource.ParseSet("menus.json", data) // the resources of a file
//	next, err := conf.With(change)                    // the configuration after the change
//	problems := conf.Check()                          // nil if the configuration is valid
//
// A configuration is an immutable value with a revision. A host replaces its configuration
// only by one with a higher revision.
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

// Kinds returns all kinds. Each kind follows those to which its resources refer.
func Kinds() []Kind {
	return []Kind{KindTier, KindService, KindEngine, KindClientAccount}
}

// ParseKind returns the kind with the name. It returns a *KindError if there is none.
func ParseKind(text string) (Kind, error) {
	for _, kin := range Kinds() {
		if string(kin) == text {
			return kin, nil
		}
	}
	return "", &KindError{Text: text}
}

// KindError reports an unknown kind of resource.
type KindError struct {
	// Text is the unknown name.
	Text string
}

// Error returns the name and the known kinds.
func (ker *KindError) Error() string {
	return fmt.Sprintf("%q is no kind of resource, want one of %v", ker.Text, Kinds())
}

// Resource is a Service, Engine, Tier or ClientAccount.
type Resource interface {
	// Key returns the kind and the name.
	Key() Key
	// isResource prevents implementations outside this package.
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

// Protocol is the protocol of the engines of a service.
type Protocol string

// The protocols of services.
const (
	// ProtocolModel is the chat completions protocol of language-model engines.
	ProtocolModel Protocol = "Model"
	// ProtocolPlain is any HTTP service.
	ProtocolPlain Protocol = "Plain"
)

// Service is a model or a plain HTTP service that clients request by name.
type Service struct {
	// Name is the model name in requests for a model, or the path segment after /services/.
	Name string
	// Protocol is the protocol of the service's engines.
	Protocol Protocol
	// MaxBodyBytes bounds the size of a request's body in bytes; 0 means 1 MiB.
	MaxBodyBytes int64
	// DefaultDeadline is the deadline of requests that specify none; 0 means 60 s.
	DefaultDeadline format.Duration
	// MaxWaiting bounds the number of queued requests at each coordinator; 0 means 256.
	MaxWaiting int
}

// Engine is a backend server of one service.
type Engine struct {
	// Name identifies the engine.
	Name string
	// Service is the name of the engine's service.
	Service string
	// Address is the IP address and port on which the engine listens.
	Address netip.AddrPort
	// Slots is the number of requests that the engine runs concurrently, 1 to 4096.
	Slots int
	// PrefillTokensPerSecond is the initial estimate of the prefill speed, which is corrected
	// by the measured speed of completed requests. 0 means 4000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the initial estimate of the decode speed of one stream, which
	// is corrected in the same way. 0 means 40.
	DecodeTokensPerSecond float64
	// Leaving drains the engine, which then gets no new work. Operators set the field before
	// they remove the server.
	Leaving bool
}

// Tier is a priority class of requests.
type Tier struct {
	// Name identifies the tier.
	Name string
	// Rank is the priority, 0 or more; requests of the highest rank are served first.
	Rank int
}

// ClientAccount is an account that sends requests and is authenticated by bearer keys.
type ClientAccount struct {
	// Name identifies the account.
	Name string
	// KeyDigests are the SHA-256 digests of the account's bearer keys, in hexadecimal.
	KeyDigests []string
	// Tiers are the names of the tiers that the account may request; the first one is the
	// default.
	Tiers []string
	// Services are the names of the services that the account may use; empty means all.
	Services []string
	// Weight is the account's share of busy engines relative to other accounts; 0 means 1.
	Weight float64
	// RequestsPerSecond limits the account's request rate across the system; 0 means no limit.
	RequestsPerSecond float64
	// MaxInFlight limits the account's requests in flight across the system; 0 means no limit.
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
