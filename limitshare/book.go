package limitshare

import (
	"time"

	"lynxwell.dev/lynxwell/request"
)

// Loan is a host's share as it lends it.
type Loan struct {
	Share Share
	// Generation counts the lender's loans; a renewal has that of the loan that it renews.
	Generation uint64
	// Renewal is set if the borrower has the share already, so that Content has no meaning.
	Renewal bool
	Content Content
}

// credit is a share that this host has borrowed.
type credit struct {
	name       string
	share      Share
	generation uint64
	until      time.Time
}

// Book records where one host's own share is, and which shares the host has borrowed. Shares that the
// host may spend are in its pool. A Book isn't safe for concurrent use.
type Book struct {
	pool Pool
	// lost returns the content of the own share, with its size, when its borrower is lost.
	lost func(Share) Content
	// own is this host's share by the ledger. inPool is the part of it that is in the pool.
	own    Share
	inPool Share
	// usable is what is in the pool.
	usable Share
	// borrower is the host to which the own share is lent, until lentUntil at the latest; 0 for none.
	borrower  request.Epoch
	lentUntil time.Time
	// generation counts the loans of the own share.
	generation uint64
	// credits are the borrowed shares, by the lender's epoch.
	credits map[request.Epoch]credit
	// nextExpiry is a time before which nothing expires; zero for never.
	nextExpiry time.Time
}

// NewBook returns a book of a host that has no share. lost returns the content of the host's own share when its
// borrower is lost: nothing is left then, but accounts may owe.
func NewBook(pool Pool, lost func(Share) Content) *Book {
	return &Book{pool: pool, lost: lost, credits: make(map[request.Epoch]credit)}
}

// SetOwn sets this host's share by the ledger. What it adds has the content. While the share is lent, the borrower
// learns it at the next renewal.
func (bok *Book) SetOwn(sha Share, con Content) {
	bok.own = sha
	if bok.borrower == 0 {
		bok.settleOwn(con)
	}
}

// settleOwn makes the own share the one in the pool. What is added has the content.
func (bok *Book) settleOwn(con Content) {
	switch {
	case bok.own > bok.inPool:
		bok.add(bok.own-bok.inPool, con)
	case bok.own < bok.inPool:
		bok.remove(bok.inPool - bok.own)
	}
	bok.inPool = bok.own
}

// Lend lends the own share to a borrower until the term is over, or renews that loan. It returns false while
// the share is lent to another host.
func (bok *Book) Lend(now time.Time, borrower request.Epoch, term time.Duration) (Loan, bool) {
	bok.Expire(now)
	if bok.borrower != 0 && bok.borrower != borrower {
		return Loan{}, false
	}
	loan := Loan{Share: bok.own, Renewal: bok.borrower == borrower}
	if !loan.Renewal {
		bok.generation++
	}
	loan.Generation = bok.generation
	if !loan.Renewal && bok.inPool > 0 {
		loan.Content = bok.remove(bok.inPool)
	}
	bok.inPool, bok.borrower, bok.lentUntil = 0, borrower, now.Add(term)
	bok.noteExpiry(bok.lentUntil)
	return loan, true
}

// Borrower returns the host to which the own share is lent; 0 for none.
func (bok *Book) Borrower() request.Epoch { return bok.borrower }

// LentFor returns how long the own share is lent for at most; 0 if it isn't.
func (bok *Book) LentFor(now time.Time) time.Duration {
	if bok.borrower == 0 {
		return 0
	}
	return max(0, bok.lentUntil.Sub(now))
}

// Returned records that a borrower has given the loan of a generation back, with what accounts have left of it. That
// of an earlier loan changes nothing.
func (bok *Book) Returned(borrower request.Epoch, generation uint64, con Content) {
	if generation == bok.generation {
		bok.takeBack(borrower, con)
	}
}

func (bok *Book) takeBack(borrower request.Epoch, con Content) {
	if borrower == 0 || bok.borrower != borrower {
		return
	}
	bok.borrower = 0
	bok.settleOwn(con)
}

// Lost records that a borrower is lost, and spends the own share no longer.
func (bok *Book) Lost(borrower request.Epoch) { bok.takeBack(borrower, bok.lost(bok.own)) }

// Borrow records a loan of the host with a name, which ends at a time unless it is renewed. A former process
// of that host has ended, so its loan has too. It returns false for a loan that has to be given back: it is over, or it
// renews one that this host has given back or that has expired here.
func (bok *Book) Borrow(now time.Time, lender request.Epoch, name string, loan Loan, until time.Time) bool {
	bok.Expire(now)
	known, borrowed := bok.credits[lender]
	if !until.After(now) || loan.Renewal && (!borrowed || known.generation != loan.Generation) {
		return false
	}
	for epo, cre := range bok.credits {
		if cre.name == name && epo != lender {
			bok.GiveBack(epo)
		}
	}
	if borrowed && known.generation != loan.Generation {
		bok.GiveBack(lender)
		known = credit{}
	}
	switch {
	case loan.Share > known.share:
		bok.add(loan.Share-known.share, loan.Content)
	case loan.Share < known.share:
		bok.remove(known.share - loan.Share)
	}
	bok.credits[lender] = credit{name: name, share: loan.Share, generation: loan.Generation, until: until}
	bok.noteExpiry(until)
	return true
}

// GiveBack ends a loan of a lender, and returns its generation and what accounts have left of it.
func (bok *Book) GiveBack(lender request.Epoch) (uint64, Content) {
	cre, known := bok.credits[lender]
	if !known {
		return 0, Content{}
	}
	delete(bok.credits, lender)
	return cre.generation, bok.remove(cre.share)
}

// Expire ends the loans whose time has come: this host spends no share that it had borrowed, and spends its
// own again. It must be called before each decision that depends on shares.
func (bok *Book) Expire(now time.Time) {
	if bok.nextExpiry.IsZero() || now.Before(bok.nextExpiry) {
		return
	}
	bok.nextExpiry = time.Time{}
	for lender, cre := range bok.credits {
		if now.Before(cre.until) {
			bok.noteExpiry(cre.until)
			continue
		}
		bok.GiveBack(lender)
	}
	switch {
	case bok.borrower == 0:
	case now.Before(bok.lentUntil):
		bok.noteExpiry(bok.lentUntil)
	default:
		bok.Lost(bok.borrower)
	}
}

func (bok *Book) noteExpiry(at time.Time) {
	if bok.nextExpiry.IsZero() || at.Before(bok.nextExpiry) {
		bok.nextExpiry = at
	}
}

// Usable returns the share that this host may spend: its own unless it is lent, and those it has borrowed.
func (bok *Book) Usable() Share { return bok.usable }

func (bok *Book) add(sha Share, con Content) {
	bok.usable += sha
	bok.pool.AddShare(sha, con)
}

func (bok *Book) remove(sha Share) Content {
	bok.usable -= sha
	return bok.pool.RemoveShare(sha)
}

// Lenders returns the number of hosts whose shares this host has borrowed.
func (bok *Book) Lenders() int { return len(bok.credits) }
