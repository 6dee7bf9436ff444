// Package admission decides at a gateway which requests to refuse without asking the coordinator.
//
// In overload a coordinator refuses more requests than it grants, and the clients return. Each refusal
// therefore states how long the coordinator would answer the same to requests like the refused one.
// Until then the gateway refuses such requests itself: the answer is that of the coordinator, and the
// coordinator has the time to decide about the others.
//
// # Usage
//
//	cch := admission.New()
//	cch.Record(now, req, admission.Refusal{Reason: ref.Reason, ValidFor: ref.ValidFor})
//	if ref, refused := cch.Lookup(now, req); refused {
//		// refuse the request for ref.Reason
//	}
//
// A Cache isn't safe for concurrent use. It reads no clock.
package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/reservation"
)

const (
	// MaxValidity bounds how long a refusal is repeated. Room at the engines changes within some
	// hundred milliseconds, and a refusal must be true when it is sent.
	MaxValidity = 250 * time.Millisecond
	// maxEntries bounds the refusals that are kept. The least recently used go first: their accounts
	// ask the coordinator again.
	maxEntries = 1024
)

// Request is what the cache knows of a request.
type Request struct {
	Service string
	Account string
	Class   fairqueue.Class
	// Size is the cost of the request to its account's limit.
	Size float64
}

// Refusal is a coordinator's refusal.
type Refusal struct {
	Reason reservation.Reason
	// ValidFor is how long the coordinator would refuse requests like this one; AnyAccount is set if
	// that holds for requests of every account.
	ValidFor   time.Duration
	AnyAccount bool
}

// key selects the requests that an entry may apply to.
type key struct {
	service string
	account string
	reason  reservation.Reason
}

// entry is a refusal that is valid until a time, for requests of a class or a less urgent one that are
// at least as large.
type entry struct {
	class fairqueue.Class
	size  float64
	until time.Time
}

// Cache holds the refusals that are valid.
type Cache struct {
	entries *simplelru.LRU[key, entry]
}

// New returns an empty cache.
func New() *Cache {
	// NewLRU fails only for a size below 1.
	entries, _ := simplelru.NewLRU[key, entry](maxEntries, nil)
	return &Cache{entries: entries}
}

// keyOf returns the key of a refusal of the request, or false if refusals for the reason aren't
// repeated. An account's limit applies to all services.
func keyOf(req Request, rea reservation.Reason, anyAccount bool) (key, bool) {
	switch {
	case rea == reservation.ReasonLimit:
		return key{account: req.Account, reason: rea}, true
	case rea == reservation.ReasonOverload && anyAccount:
		return key{service: req.Service, reason: rea}, true
	case rea == reservation.ReasonOverload:
		return key{service: req.Service, account: req.Account, reason: rea}, true
	default:
		return key{}, false
	}
}

// Record records a refusal of a request. An entry that ends later is replaced only by one that applies
// to more requests.
func (cch *Cache) Record(now time.Time, req Request, ref Refusal) {
	kee, repeated := keyOf(req, ref.Reason, ref.AnyAccount)
	if !repeated || ref.ValidFor <= 0 {
		return
	}
	newer := entry{class: req.Class, size: req.Size, until: now.Add(min(ref.ValidFor, MaxValidity))}
	if ref.Reason == reservation.ReasonOverload {
		newer.size = 0
	}
	older, known := cch.entries.Get(kee)
	if known && now.Before(older.until) && older.covers(newer) && older.until.After(newer.until) {
		return
	}
	cch.entries.Add(kee, newer)
}

// covers reports whether the entry applies to all requests that the other one applies to.
func (ent entry) covers(other entry) bool {
	return ent.class.Compare(other.class) <= 0 && ent.size <= other.size
}

// Lookup returns the refusal of a request, with the time for which it is still valid, or false if the
// coordinator has to be asked.
func (cch *Cache) Lookup(now time.Time, req Request) (Refusal, bool) {
	for _, ref := range []Refusal{{Reason: reservation.ReasonLimit}, {Reason: reservation.ReasonOverload, AnyAccount: true}, {Reason: reservation.ReasonOverload}} {
		kee, _ := keyOf(req, ref.Reason, ref.AnyAccount)
		ent, known := cch.entries.Get(kee)
		if !known {
			continue
		}
		if !now.Before(ent.until) {
			cch.entries.Remove(kee)
			continue
		}
		if ent.covers(entry{class: req.Class, size: req.Size}) {
			ref.ValidFor = ent.until.Sub(now)
			return ref, true
		}
	}
	return Refusal{}, false
}

// Clear drops all refusals, when another coordinator decides.
func (cch *Cache) Clear() { cch.entries.Purge() }

// Len returns the number of refusals that are kept, including those that have ended since.
func (cch *Cache) Len() int { return cch.entries.Len() }
