package main

// model are the random walks over the pure cores, with more of them than the
// plain tests take.
var model = []string{"./modeltest", "-run", "TestModel", "-rapid.checks=6000", "-rapid.shrinktime=1s"}

// cores are the unit tests of the pure cores and the exhaustive checks.
var cores = []string{"./gateway", "./coordinator", "./modeltest", "-run", "Test[^M]"}

var mutations = []mutation{
	{
		"Fence: a promise holds lower ballots off", "coordinator/ledger.go",
		"	case bal.Less(rec.ballot):\n		return reservation.ReasonFenced, rec.ballot.Holder\n", "", model,
	},
	{
		"Fence: a granter that can't be asked must be vouched for", "gateway/fence.go",
		"		if !fes.vouched(reservation.VouchKey{Lost: granter, Holder: holder}) {\n			return false\n		}\n",
		"		if false && !fes.vouched(reservation.VouchKey{Lost: granter, Holder: holder}) {\n			return false\n		}\n", model,
	},
	{
		"Fence: a recorded grant is told", "coordinator/ledger.go",
		"	case rec != nil && rec.standing == reservation.StandingGranted:\n		ans.Standing, ans.Ballot, ans.Engine = rec.standing, rec.ballot, rec.engine\n", "", model,
	},
	{
		"Domain rule: grants come from outside the gateway's domain", "view/view.go",
		"		if mem.Domain != own.Domain {", "		if mem.Domain != own.Domain || true {", cores,
	},
	{
		"Epoch check: grants of a lost epoch are refused", "gateway/choose.go",
		"	if gat.lost[epo] != nil {\n		return false\n	}\n	vie, known", "	vie, known", cores,
	},
	{
		"Epoch check: a grant counts only from the coordinator asked", "gateway/close.go",
		"ent.phase == phaseWaiting && ent.coordinator == from &&", "ent.phase == phaseWaiting &&", cores,
	},
	{
		"Grant: a request that runs isn't dispatched again", "gateway/close.go",
		"wanted := ent != nil && ent.phase == phaseWaiting && ent.coordinator == from &&", "wanted := ent != nil && ent.coordinator == from &&", cores,
	},
	{
		"Vouching: the records of a lost epoch are told", "gateway/vouch.go",
		"			records = append(records, rec)\n", "			_ = rec\n", model,
	},
	{
		"Vouching: a vouch that a fence relied on isn't taken back", "coordinator/ledger.go",
		"	case known.fenced:\n		ans.Released = false\n", "", cores,
	},
	{
		"Close: NotRun is told only on a granter's word", "gateway/close.go",
		"	ent.reserved = now\n	clear(ent.refused)\n	gat.askToClose(now, ent)\n", "	ent.reserved = now\n	gat.finish(ent, fin)\n", model,
	},
	{
		"Close: a request asked to be closed stays in memory", "gateway/close.go",
		"	if !ent.closeAsked {\n		gat.forget(ent)", "	if true {\n		gat.forget(ent)", cores,
	},
	{
		"Close: a fence that reads Closed hears every granter", "gateway/fence.go",
		"	case reservation.StandingOutbid:\n		gat.outbid(now, ent, ans)\n	case reservation.StandingClosed,",
		"	case reservation.StandingOutbid:\n		gat.outbid(now, ent, ans)\n	case reservation.StandingClosed:\n		gat.finish(ent, Final{Outcome: request.NotRun})\n	case", cores,
	},
	{
		"Floor: a line that refused a rank keeps nothing newly below it", "coordinator/service.go",
		"	if now.Before(svc.floorUntil) && res.Rank < svc.floorRank {\n		return false\n	}\n", "", cores,
	},
	{
		"Shedding: the lowest tier goes first", "coordinator/line.go",
		"	for _, til := range slices.Backward(lin.tiers) {", "	for _, til := range lin.tiers {", cores,
	},
	{
		"Revisions: only a higher one is put in force", "host/configuration.go",
		"	if con.Revision <= lop.host.Configuration().Revision {\n		return\n	}\n", "",
		[]string{"./host"},
	},
	{
		"Handover: a stopping ledger is handed over whole", "coordinator/ledger.go",
		"		han.Records = append(han.Records, reservation.Record{ID: id, Ballot: rec.ballot, Standing: rec.standing, Engine: rec.engine})\n",
		"		_ = id\n", model,
	},
	{
		"Stop: a stopped ledger answers nothing more", "coordinator/core.go",
		"	if cor.stopped {\n		return reservation.FenceAnswer{", "	if false {\n		return reservation.FenceAnswer{", cores,
	},
}
