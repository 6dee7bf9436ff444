package limitshare

import (
	"cmp"
	"slices"
)

// HandOver returns the ledger in which the share of a host that stops belongs to its heirs, those with the least
// first, and whether that is possible. The host must have ceased to spend the share, and must not spend it again: the heirs
// spend it as soon as they read the ledger. What belongs to nobody stays so.
func (led Ledger) HandOver(name string, heirs []string) (Ledger, bool) {
	left := led.Of(name)
	heirs = slices.DeleteFunc(slices.Clone(heirs), func(heir string) bool { return heir == name })
	if left <= 0 || len(heirs) == 0 {
		return Ledger{}, false
	}
	next := led.next()
	delete(next.Shares, name)
	slices.SortFunc(heirs, func(one, two string) int {
		return cmp.Or(cmp.Compare(led.Of(one), led.Of(two)), cmp.Compare(one, two))
	})
	equal := Whole / Share(len(heirs))
	for _, heir := range heirs {
		given := min(left, max(0, equal-led.Of(heir)))
		next.Shares[heir] += given
		left -= given
	}
	// Rounding leaves a part over, and so do heirs that have an equal share already.
	next.Shares[heirs[0]] += left
	return next, true
}
