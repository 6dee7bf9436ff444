package limitshare

import (
	"cmp"
	"slices"
)

// MaxAccounts bounds the accounts that a Content names.
const MaxAccounts = 128

// Content is what client accounts have left of a share, each as a fraction of what the share holds when
// it is full. It is negative for an account that owes. The zero Content is that of a share of which
// nothing is left.
type Content struct {
	// Others is the fraction of the accounts that Accounts doesn't name, 0 or less but for Unspent.
	Others   float64
	Accounts []AccountContent
	// Retries is what the service with the least has left of the slack of its retry budget, as such a fraction.
	Retries float64
}

// Unspent is the content of a share of which nothing was ever spent.
func Unspent() Content { return Content{Others: 1, Retries: 1} }

// AccountContent is what one account has left.
type AccountContent struct {
	Account string
	Left    float64
}

// NewContent returns the content of accounts of which each has the given fraction left. It names those that owe, and
// then those that have been used lately. The others, and accounts that the receiver knows and this host doesn't, count as
// if they had nothing, or owed as much as the one of them that owes most: no account gets more than it had.
func NewContent(left []AccountContent) Content {
	left = slices.Clone(left)
	slices.SortFunc(left, func(one, two AccountContent) int {
		return cmp.Or(cmp.Compare(one.Left, two.Left), cmp.Compare(one.Account, two.Account))
	})
	named := left[:min(MaxAccounts, len(left))]
	con := Content{Accounts: named}
	if len(left) > len(named) {
		con.Others = min(0, left[len(named)].Left)
	}
	return con
}

// Left returns the fraction that an account has left.
func (con Content) Left(account string) float64 {
	for _, acc := range con.Accounts {
		if acc.Account == account {
			return acc.Left
		}
	}
	return con.Others
}

// ByAccount returns the fractions of the accounts that the content names.
func (con Content) ByAccount() map[string]float64 {
	byAccount := make(map[string]float64, len(con.Accounts))
	for _, acc := range con.Accounts {
		byAccount[acc.Account] = acc.Left
	}
	return byAccount
}
