package limitshare

import (
	"cmp"
	"slices"
)

// HandOver returns the ledger in which the share of a host that stops belongs to its recipients, those with the least
// first, and whether that is possible. The host must have ceased to spend the share, and must not spend it again: the recipients
// spend it as soon as they read the ledger. What belongs to nobody stays so.
func (led Ledger) HandOver(name string, recipients []string) (Ledger, bool) {
	left := led.Of(name)
	recipients = slices.DeleteFunc(slices.Clone(recipients), func(recipient string) bool { return recipient == name })
	if left <= 0 || len(recipients) == 0 {
		return Ledger{}, false
	}
	next := led.next()
	delete(next.Shares, name)
	slices.SortFunc(recipients, func(one, two string) int {
		return cmp.Or(cmp.Compare(led.Of(one), led.Of(two)), cmp.Compare(one, two))
	})
	equal := Whole / Share(len(recipients))
	for _, recipient := range recipients {
		given := min(left, max(0, equal-led.Of(recipient)))
		next.Shares[recipient] += given
		left -= given
	}
	// Rounding leaves a part over, and so do recipients that have an equal share already.
	next.Shares[recipients[0]] += left
	return next, true
}
