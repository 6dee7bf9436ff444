package main

// model selects the random walks over the gateway and coordinator cores, with more walks
// than in a plain test run.
var model = []string{"./modeltest", "-run", "TestModel", "-rapid.checks=6000", "-rapid.shrinktime=1s"}

// cores selects the unit tests of the gateway and coordinator cores and the exhaustive
// exploration.
var cores = []string{"./gateway", "./coordinator", "./modeltest", "-run", "Test[^M]"}

// ledgerMutations remove what keeps a request from running twice.
var ledgerMutations = []mutation{
	{
		"Fence: a ledger that has promised a ballot refuses lower ones", "coordinator/ledger.go",
		"	case bal.Less(rec.ballot):\n		return reservation.ReasonFenced, rec.ballot.Holder\n", "", model,
	},
	{
		"Fence: an unreachable granter needs an attestation", "gateway/fence.go",
		"		if !att.isAttested(reservation.AttestationKey{Lost: granter, Holder: holder}) {\n			return false\n		}\n",
		"		if false && !att.isAttested(reservation.AttestationKey{Lost: granter, Holder: holder}) {\n			return false\n		}\n", model,
	},
	{
		"Fence: a fence answer reports a recorded grant", "coordinator/ledger.go",
		"	case rec != nil && rec.state == reservation.FenceStateGranted:\n		ans.State, ans.Ballot, ans.Engine = rec.state, rec.ballot, rec.engine\n", "", model,
	},
	{
		"Domain rule: grants come only from outside the gateway's domain", "view/view.go",
		"		if mem.Domain != own.Domain {", "		if mem.Domain != own.Domain || true {", cores,
	},
	{
		"Epoch check: a gateway accepts no grant of a lost epoch", "gateway/choose.go",
		"	if gat.lost[epo] != nil {\n		return false\n	}\n	vie, known", "	vie, known", cores,
	},
	{
		"Epoch check: a gateway accepts a grant only from the coordinator that it asked", "gateway/close.go",
		"ent.phase == phaseWaiting && ent.coordinator == from &&", "ent.phase == phaseWaiting &&", cores,
	},
	{
		"Grant: a request that runs isn't dispatched again", "gateway/close.go",
		"wanted := ent != nil && ent.phase == phaseWaiting && ent.coordinator == from &&", "wanted := ent != nil && ent.coordinator == from &&", cores,
	},
	{
		"Vouching: an attestation contains the records of a lost epoch", "gateway/vouch.go",
		"			records = append(records, rec)\n", "			_ = rec\n", model,
	},
	{
		"Vouching: an attestation that a fence has relied on can't be revoked", "coordinator/ledger.go",
		"	case known.fenced:\n		ans.Revoked = false\n", "", cores,
	},
	{
		"Close: NotRun is reported only after a granter has answered", "gateway/close.go",
		"	ent.reserved = now\n	clear(ent.refused)\n	gat.askToClose(now, ent)\n", "	ent.reserved = now\n	gat.finish(ent, fin)\n", model,
	},
	{
		"Close: a request with a pending close stays in memory", "gateway/close.go",
		"	if !ent.closeAsked {\n		gat.forget(ent)", "	if true {\n		gat.forget(ent)", cores,
	},
	{
		"Close: a fence that reads Closed waits for every granter", "gateway/fence.go",
		"	case reservation.FenceStateSuperseded:\n		gat.superseded(now, ent, ans)\n	case reservation.FenceStateClosed,",
		"	case reservation.FenceStateSuperseded:\n		gat.superseded(now, ent, ans)\n	case reservation.FenceStateClosed:\n		gat.finish(ent, Final{Outcome: request.NotRun})\n	case", cores,
	},
	{
		"Floor: a queue that refused a rank accepts no new request below it", "coordinator/service.go",
		"	if now.Before(svc.floorUntil) && res.Rank < svc.floorRank {\n		return false\n	}\n", "", cores,
	},
	{
		"Shedding: the lowest tier is shed first", "coordinator/queue.go",
		"	for _, tiq := range slices.Backward(que.tiers) {", "	for _, tiq := range que.tiers {", cores,
	},
	{
		"Revisions: a host puts only a higher revision in force", "host/configuration.go",
		"	if con.Revision <= lop.host.Configuration().Revision {\n		return\n	}\n", "",
		[]string{"./host"},
	},
	{
		"Handover: a stopping ledger hands over all records", "coordinator/ledger.go",
		"		han.Records = append(han.Records, reservation.Record{ID: id, Ballot: rec.ballot, State: rec.state, Engine: rec.engine})\n",
		"		_ = id\n", model,
	},
	{
		"Stop: a stopped ledger refuses fences", "coordinator/core.go",
		"	if cor.stopped {\n		return reservation.FenceAnswer{", "	if false {\n		return reservation.FenceAnswer{", cores,
	},
}
