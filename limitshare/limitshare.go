// Package limitshare decides which host may spend which share of the limits: of the rates of client
// accounts, of engines and of retries, which hold for all hosts together.
//
// A ledger in the store says which share belongs to which host. It names hosts, not processes: a host
// that restarts has its share again, whatever the list of running hosts says, and a host that isn't
// listed keeps it until the ledger takes it away. A host lends its share to its coordinator, which
// then spends the shares of all hosts that use it. Each share is therefore in one place at a time.
//
// What accounts have left of a limit moves together with the share: it is taken away at one host before
// it is added at another. If that can't be, because a host was lost, what was left is lost too.
//
// # Usage
//
//	bok := limitshare.NewBook(pool, lost)            // pool is the host's own scheduler
//	bok.SetOwn(ledger.Of("host-1"), limitshare.Content{})
//	loan, lent := bok.Lend(now, coordinator, term)   // at a host, when its coordinator asks
//	bok.Borrow(now, gateway, "host-2", loan, until)  // at the coordinator
//	bok.Expire(now)                                  // before each decision
//
// The package reads no clock and does no I/O.
package limitshare

// Share is a share of the limits in millionths of the whole.
type Share int

// Whole is the share that all hosts have together.
const Whole Share = 1_000_000

// Fraction returns the share as a fraction, from 0 to 1.
func (sha Share) Fraction() float64 { return float64(sha) / float64(Whole) }

// IsMajority reports whether no other hosts can have as much: only hosts with a majority change whom the others'
// shares belong to.
func (sha Share) IsMajority() bool { return 2*sha > Whole }

// Pool spends a host's share of the limits.
type Pool interface {
	// AddShare adds a share with what accounts have left of it.
	AddShare(sha Share, con Content)
	// RemoveShare takes a share away, and returns what accounts had left of it.
	RemoveShare(sha Share) Content
}
