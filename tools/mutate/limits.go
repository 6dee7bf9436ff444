package main

// limits selects the tests of the hosts' shares of the limits.
var limits = []string{"./limitshare", "./scheduler", "./entry", "-run", "Share|Ledger|Minority|Fleet|HandOver|Replace|Unseen|HostsThatStop|HandedOver|HandOverNeeds|Content|CoordinatorContinues|HostsThatStart|AccountLimit|ColdRateIs|GetsNoBurst|RetriesStay|RetriesAre"}

// limitMutations remove the guards of the hosts' shares of the limits.
var limitMutations = []mutation{
	{
		"Limits: a share that is lent to one host isn't lent to another", "limitshare/book.go",
		"	if bok.borrower != 0 && bok.borrower != borrower {", "	if false {", limits,
	},
	{
		"Limits: a lent share is taken out of the lender's pool", "limitshare/book.go",
		"	bok.inPool, bok.borrower, bok.lentUntil = 0, borrower, now.Add(term)", "	bok.borrower, bok.lentUntil = borrower, now.Add(term)", limits,
	},
	{
		"Limits: a loan that isn't renewed ends at the borrower", "limitshare/book.go",
		"		if now.Before(cre.until) {", "		if true {", limits,
	},
	{
		"Limits: the loan of a host's former process ends", "limitshare/book.go",
		"		if cre.name == name && epo != lender {", "		if false && cre.name == name {", limits,
	},
	{
		"Limits: a loan that is over when it arrives isn't used", "limitshare/book.go",
		"	if !until.After(now) || loan.Renewal &&", "	if loan.Renewal &&", limits,
	},
	{
		"Limits: accounts that aren't named owe as much as the one that owes most", "limitshare/content.go",
		"		con.Others = min(0, left[len(named)].Left)\n", "", limits,
	},
	{
		"Limits: a share that was taken away belongs to nobody at first", "limitshare/ledger.go",
		"	if now.Sub(pla.takenAt) < obs.Use.settleTime() || len(owners) == 0 {", "	if len(owners) == 0 {", limits,
	},
	{
		"Limits: a minority takes no shares", "limitshare/ledger.go",
		"	case obs.Usable.IsMajority():", "	case true:", limits,
	},
	{
		"Limits: the first ledger waits for hosts that are starting", "limitshare/ledger.go",
		"	if now.Sub(pla.foundersSince) < foundingQuiet && now.Sub(pla.foundingSince) < foundingLimit {", "	if false {", limits,
	},
	{
		"Limits: what accounts have left moves with a share", "scheduler/share.go",
		"		buc.level += min(1, fraction)", "		buc.level += 0 * min(1, fraction)", limits,
	},
	{
		"Limits: what is handed over is taken away", "scheduler/share.go",
		"		buc.level *= kept\n", "", limits,
	},
	{
		"Limits: a core spends only its share of an account's limit", "scheduler/limit.go",
		"	buc.rate, buc.burst = share*buc.fullRate, share*buc.fullBurst", "	buc.rate, buc.burst = buc.fullRate, buc.fullBurst", limits,
	},
	{
		"Limits: a host with an outdated ledger spends nothing", "entry/shares.go",
		"	suspended := !bro.host.shareUse()", "	suspended := false && !bro.host.shareUse()", limits,
	},
	{
		"Limits: a change of the ledger that this host hasn't seen may have taken shares away", "limitshare/ledger.go",
		"	takesNothing := led.Version == pla.version+1 &&", "	takesNothing :=", limits,
	},
	{
		"Limits: where revocation is strict, hosts with most shares spend none without confirmation", "limitshare/use.go",
		"usable.IsMajority() && !use.MajorityIsBound", "usable.IsMajority()", limits,
	},
	{
		"Limits: hosts without most shares wait briefly only if nobody spends without confirmation", "limitshare/ledger.go",
		"	case !obs.Use.MajorityIsBound:", "	case false:", limits,
	},
	{
		"Limits: hosts that stop get no more shares", "limitshare/ledger.go",
		"		if !slices.Contains(obs.Leaving, name) {", "		if true {", limits,
	},
	{
		"Limits: a host that hands its share over lends it no more", "entry/shares.go",
		"	if from != bro.coordinator || bro.shares.handsOver {", "	if from != bro.coordinator {", limits,
	},
	{
		"Limits: a loan is handed over only when it is over", "entry/handover.go",
		"		if !lent {", "		if lent || true {", limits,
	},
	{
		"Limits: a coordinator borrows no more than the ledger says", "entry/shares.go",
		"		loan.Share = min(loan.Share, led.Of(inb.name))\n", "		_ = led\n", limits,
	},
	{
		"Limits: a host hands its share over only if the store answers", "entry/handover.go",
		" || hos.readLedger(ctx) != nil", "", limits,
	},
	{
		"Limits: a late handover doesn't take the share of the host's next process", "entry/handover.go",
		", Absent: platform.MemberKey(hos.set.Name)", "", limits,
	},
	{
		"Limits: a coordinator gives the share of a host back that leaves it", "entry/elect.go",
		"		bro.returnLoan(inb)\n", "", limits,
	},
	{
		"Limits: a coordinator loses the share of a host that is lost", "entry/sessions.go",
		"	bro.shares.book.GiveBack(inb.gateway)\n", "", limits,
	},
}
