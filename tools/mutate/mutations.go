package main

// model are the random walks over the pure cores, with more of them than the
// plain tests take.
var model = []string{"./modeltest", "-run", "TestModel", "-rapid.checks=6000", "-rapid.shrinktime=1s"}

// cores are the unit tests of the pure cores and the exhaustive checks.
var cores = []string{"./gateway", "./coordinator", "./modeltest", "-run", "Test[^M]"}

// signals are the tests of the signals of engines.
var signals = []string{"./entry", "./scheduler", "./fleet", "-run", "Notice|Signal|Backoff|Pause|Draining|Blocked|Crashes"}

// rates are the tests of rate limits.
var rates = []string{"./entry", "./scheduler", "./fleet", "-run", "Rate|SpendsNoToken|DeregisteredEngine"}

// placement are the tests of the evacuation of failure domains, of cold engines and of regions.
var placement = []string{"./evacuation", "./entry", "./scheduler", "./fleet", "./route", "-run", "Evacuat|Emptied|Emptying|Order|Domain|Cold|Warm|Region|Told|Allowed|Enforce|Chill|HostKeeps|StartingHost|Outside|Addresses|Unreachable|Retry"}

var mutations = []mutation{
	{
		"Place: a host keeps to an order right before it sends", "evacuation/gate.go",
		"	if _, closed := gat.orders[domain]; closed {\n		return false\n	}\n	gat.writing", "	gat.writing", placement,
	},
	{
		"Place: an order is told once all hosts keep to it", "evacuation/board.go",
		"len(brd.hosts) == 0 || len(brd.missing(ord)) > 0", "len(brd.hosts) == 0", placement,
	},
	{
		"Place: a host keeps to an order once nothing of its own is on its way", "evacuation/gate.go",
		"		if gat.writing[domain] == 0 {\n", "		if gat.writing[domain] >= 0 {\n", placement,
	},
	{
		"Place: what was told of a former order isn't told of this one", "evacuation/board.go",
		"std.Told.Revision > 0 && std.Told.Order == std.Order.Revision {\n		return", "std.Told.Revision > 0 {\n		return", placement,
	},
	{
		"Place: two that tell don't tell twice", "evacuation/board.go",
		"Expect: std.Told.Revision}", "}", placement,
	},
	{
		"Place: an emptied engine is granted to nobody", "fleet/engine.go",
		"return eng.Draining || eng.Emptied", "return eng.Draining", placement,
	},
	{
		"Place: a gateway that keeps to an order is granted nothing there", "scheduler/place.go",
		"	if pla.closed[ene.Domain] {\n		return false\n	}\n", "", placement,
	},
	{
		"Place: a reading without the order takes it back", "entry/evacuations.go",
		"		if !given[domain] {\n", "		if false {\n", placement,
	},
	{
		"Place: a cold engine is granted what it bears", "scheduler/cold.go",
		"	cor.limiterOf(now, ene).setCold(now, until, rate)\n", "	cor.limiterOf(now, ene)\n", placement,
	},
	{
		"Place: a host holds grants against its own knowledge of cold engines", "entry/cold.go",
		"	if left <= 0 {\n		return nil\n	}\n	age", "	if true {\n		return nil\n	}\n	age", placement,
	},
	{
		"Place: a grant of a cold engine is used while it is fresh", "entry/cold.go",
		"grt.cold && age < maxColdGrantAge", "grt.cold", placement,
	},
	{
		"Place: an entry that is read again doesn't keep an engine cold", "fleet/directory.go",
		"eng.Sequence != former.Sequence && told.After(until)", "told.After(until)", placement,
	},
	{
		"Place: engines of a domain that is used again are taken to be cold", "entry/evacuations.go",
		"coldFor(tab))\n", "coldFor(nil))\n", placement,
	},
	{
		"Place: an engine that ended is cold when it is back", "scheduler/quarantine.go",
		"		cor.markCrashedCold(now, ene)\n", "", placement,
	},
	{
		"Place: a request runs in the regions that are allowed", "scheduler/place.go",
		"	return len(pla.regions) == 0 || slices.Contains", "	return true || slices.Contains", placement,
	},
	{
		"Place: the account's regions bind beside the route's", "route/region.go",
		"Regions: common(rou.Regions, acc.Regions)}", "Regions: rou.Regions}", placement,
	},
	{
		"Place: callers are sent where their requests may be held", "entry/directory.go",
		"	if !sco.Bounded || slices.Contains(sco.Regions, own) {", "	if true || slices.Contains(sco.Regions, own) {", placement,
	},
	{
		"Rate: an engine is granted what it takes", "scheduler/rate.go",
		"	return lim.tokens >= 1\n", "	return true\n", rates,
	},
	{
		"Rate: nothing is saved up while another core decides", "scheduler/rate.go",
		"		lim.tokens = 0\n", "", rates,
	},
	{
		"Rate: a core keeps to its share", "scheduler/rate.go",
		"	return 1 / cor.divisor\n", "	return 1\n", rates,
	},
	{
		"Rate: an older answer doesn't end it", "scheduler/rate.go",
		"!rnn.inherited && rnn.grantedAt.After(lim.signaledAt)", "!rnn.inherited", rates,
	},
	{
		"Rate: an inherited run's answer doesn't end it", "scheduler/rate.go",
		"!rnn.inherited && rnn.grantedAt.After(lim.signaledAt)", "rnn.grantedAt.After(lim.signaledAt)", rates,
	},
	{
		"Rate: a grant that isn't sent costs nothing", "scheduler/core.go",
		"		ene.limiter.refund(rnn.gateway)\n", "", rates,
	},
	{
		"Rate: who can't be granted hears at once", "scheduler/line.go",
		"han == handleNormal && cor.refuseRateLimited(", "false && cor.refuseRateLimited(", rates,
	},
	{
		"Rate: a host sends back what isn't within it", "entry/barred.go",
		"	if err := hos.checkRate(eng.ID, grt); err != nil {\n		return err\n	}\n", "", rates,
	},
	{
		"Rate: a host sends back what was granted long ago", "entry/barred.go",
		"GrantRatePaced && age < maxRateGrantAge", "GrantRatePaced && age < time.Hour", rates,
	},
	{
		"Rate: its end is told with grants", "scheduler/rate.go",
		"	case ene.rateEnded:\n		return reservation.GrantRateEnded\n", "", rates,
	},
	{
		"Rate: its end is believed of who had heard that it was named", "entry/barred.go",
		" && grt.requestedAt.After(lim.At):", ":", rates,
	},
	{
		"Rate: an answer to another request doesn't end it", "entry/notices.go",
		"	case !hrd.Stray && ntc.received", "	case ntc.received", rates,
	},
	{
		"Rate: an answer to what was sent before doesn't end it", "fleet/notices.go",
		"	return known && sent.After(lim.At)\n", "	return known && (true || sent.After(lim.At))\n", rates,
	},
	{
		"Rate: what can't be read ends nothing", "entry/notices.go",
		"	case hrd.Head.UnreadRate != \"\":\n", "	case false:\n", rates,
	},
	{
		"Rate: being turned away by it is no failure", "entry/attempt.go",
		" || ans.Head.HasRate\n", "\n", rates,
	},
	{
		"Word: a host looks at a grant's engine again", "entry/reserve.go",
		"		if err := hos.checkEngine(eng, exc.grant); err != nil {", "		if err := hos.checkEngine(eng, exc.grant); false && err != nil {", signals,
	},
	{
		"Word: a host looks again right before it sends", "entry/attempt.go",
		"	if err := hos.checkEngine(eng, exc.grant); err != nil {\n		return err\n	}\n	return hos.evac", "	return hos.evac", signals,
	},
	{
		"Word: it is its speaker's", "entry/notices.go",
		"	case head.Instance != \"\" && head.Instance != hrd.Engine.Name, head.Misdirected && head.Instance == \"\":\n		return nil\n", "", signals,
	},
	{
		"Word: an engine that leaves is granted to nobody", "scheduler/notice.go",
		"	return sig.draining || now.Before(sig.sharedBackoffUntil)", "	return now.Before(sig.sharedBackoffUntil)", signals,
	},
	{
		"Word: a host that was asked for a pause isn't granted the engine", "scheduler/notice.go",
		"	return sig.blocksAll(now) || now.Before(sig.backoffUntil[gateway])\n", "	return sig.blocksAll(now)\n", signals,
	},
	{
		"Word: one request at a time tries an engine after a pause", "scheduler/notice.go",
		" || sig.probing(now)\n", "\n", signals,
	},
	{
		"Word: a host that may decide next is told", "entry/sessions.go",
		"	bro.sendNotices(lin.member)\n", "", signals,
	},
	{
		"Word: a pause is no failure", "scheduler/core.go",
		"	case rel.BackedOff:\n		ene.health.recordUnknown()\n", "", signals,
	},
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
