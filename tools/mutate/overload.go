package main

// overload selects the tests of decisions in overload.
var overload = []string{"./scheduler", "-run", "Goodput.*|SlowCoordinator|OwnSlots|FreeSlot"}

// gate selects the tests of what a gateway doesn't send.
var gate = []string{"./admission", "./congestion"}

// slowCoordinator selects the tests of coordinators that decide too slowly.
var slowCoordinator = []string{"./takeover", "./entry", "-run", "Takeover|Coordinator|NextCandidate"}

// shares selects the tests of shares of client accounts.
var shares = []string{"./fairqueue", "./scheduler", "-run", "Account|Burst|Charged|Grant|Share"}

// turns selects the tests of predicted turns.
var turns = []string{"./turn", "./scheduler", "-run", "Predictions|Calendar|Refused|WhenTold|AtOnce"}

// overloadMutations remove what decides who goes first and who is refused in overload.
var overloadMutations = []mutation{
	{
		"Overload: a pass ends when no engine has room", "scheduler/serve.go",
		"	if pss.scan.full && !pss.exhaustive {", "	if false {", overload,
	},
	{
		"Overload: an engine search isn't repeated at once", "scheduler/choose.go",
		"	if sea.service.unchanged && sea.now", "	if false && sea.now", overload,
	},
	{
		"Overload: late requests search engines with a free slot", "scheduler/choose.go",
		"	if sea.needsSlot {\n		set", "	if false {\n		set", overload,
	},
	{
		"Overload: a host alone uses its own slots", "scheduler/choose.go",
		"|| sea.sharing && !sea.core.ownsSlot(ene)", "", overload,
	},
	{
		"Overload: undecided reservations are bounded", "congestion/congestion.go",
		"return win.undecided < int(win.limit)", "return true", gate,
	},
	{
		"Overload: the bound falls with the lag", "congestion/congestion.go",
		"	if win.excess(now, lag) > MaxLag {", "	if false {", gate,
	},
	{
		"Overload: a refusal is repeated for a bounded time", "admission/admission.go",
		"now.Add(min(ref.ValidFor, MaxValidity))", "now.Add(ref.ValidFor)", gate,
	},
	{
		"Overload: a refusal is repeated for requests like the refused one", "admission/admission.go",
		"		if ent.covers(entry{", "		if true || ent.covers(entry{", gate,
	},
	{
		"Overload: retries are always decided", "admission/gate.go",
		"	if res.Attempt > 0 || res.Requeued {\n		return Refusal{}", "	if false {\n		return Refusal{}", gate,
	},
	{
		"Overload: a coordinator is replaced by most hosts only", "takeover/takeover.go",
		"	return 2*rep.Count(now, coordinator) > hosts-1", "	return rep.Count(now, coordinator) > 0", slowCoordinator,
	},
	{
		"Overload: takeovers don't follow one another", "takeover/takeover.go",
		"now.Sub(rep.replacedAt) < holdDown", "false", slowCoordinator,
	},
	{
		"Overload: only the next candidate replaces a coordinator", "entry/takeover.go",
		"|| !bro.isNextCandidate(by, slow)", "", slowCoordinator,
	},
	{
		"Shares: the least served account is next", "fairqueue/share.go",
		"	usg.virtual += work / usg.weight\n", "", shares,
	},
	{
		"Shares: a burst after a rest is bounded", "fairqueue/share.go",
		"	usg.virtual = max(usg.virtual, clk.virtual-MaxCredit.Seconds())\n", "", shares,
	},
	{
		"Shares: an unused grant is refunded", "scheduler/queue.go",
		"		svc.queue.Correct(rnn.share, -rnn.work)\n", "", shares,
	},
	{
		"Shares: adopted runs are charged", "scheduler/runs.go",
		"	cor.service(ene.Service).queue.Charge(rnn.share, rnn.work)\n", "", shares,
	},
	{
		"Turn: wrong predictions refuse nobody", "turn/turn.go",
		"math.Exp(-lowDeviations * pre.deviation)", "1", turns,
	},
	{
		"Turn: a booking isn't used early", "scheduler/early.go",
		"	if !booked || now.Before(at.Add(-earlyReturn)) {", "	if !booked {", turns,
	},
	{
		"Turn: a booking is used once", "scheduler/early.go",
		"	delete(cor.bookings, dig)\n	return", "	return", turns,
	},
	{
		"Turn: callers return one after the other", "turn/calendar.go",
		"		if slo.booked+work.Seconds() > limit {", "		if false {", turns,
	},
}
