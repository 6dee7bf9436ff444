package limitshare

import "time"

// UnconfirmedUse is how long a host spends shares without having confirmed that its copy of the ledger is
// current, if nothing else bounds that.
const UnconfirmedUse = 10 * time.Second

// settleMargin is what a share that was taken away belongs to nobody beyond the time for which its former owner
// may spend it: the owner may read the ledger late, and its clock may run slower.
const settleMargin = time.Second

// Use bounds how long hosts spend shares without having confirmed that their copies of the ledger are current.
// All hosts use the same.
type Use struct {
	// Limit is that time; 0 means UnconfirmedUse.
	Limit time.Duration
	// MajorityIsBound is set if Limit holds for hosts with most shares, too. If it isn't, these spend for any time,
	// and the others can't know whether they do until they have been absent for long.
	MajorityIsBound bool
}

// MaySpend reports whether a host may spend the share that it has, when its copy of the ledger was last confirmed
// to be current the given time ago.
func (use Use) MaySpend(age time.Duration, usable Share) bool {
	return age <= use.limit() || usable.IsMajority() && !use.MajorityIsBound
}

func (use Use) limit() time.Duration {
	if use.Limit <= 0 {
		return UnconfirmedUse
	}
	return use.Limit
}

// settleTime returns how long a share that the ledger has taken away belongs to nobody. By then its former
// owner has read that, or spends no share.
func (use Use) settleTime() time.Duration { return use.limit() + settleMargin }
