package main

// model selects the random walks over the gateway and coordinator cores, with more walks
// than in a plain test run.
var model = []string{"./modeltest", "-run", "TestModel", "-rapid.checks=6000", "-rapid.shrinktime=1s"}

// cores selects the unit tests of the gateway and coordinator cores and the exhaustive
// exploration.
var cores = []string{"./gateway", "./coordinator", "./modeltest", "-run", "Test[^M]"}

// signals selects the tests of engine signals.
var signals = []string{"./entry", "./scheduler", "./fleet", "-run", "Notice|Signal|Backoff|Draining|Blocked|Crashes|Published|Reported|EarlyAnswer|ClientDisconnect|Unrecognized"}

// rates selects the tests of rate limits.
var rates = []string{"./entry", "./scheduler", "./fleet", "-run", "Rate|SpendsNoToken|DeregisteredEngine"}

// placement selects the tests of the evacuation of failure domains, of cold engines and of regions.
var placement = []string{"./evacuation", "./entry", "./scheduler", "./fleet", "./route", "-run", "Evacuat|Order|Domain|Cold|Warm|Region|Allowed|Enforce|StartingHost|Outside|Addresses|Unreachable|Retry|Poison|RejectedAtOnce|Reported|Unrecognized|NewSession|CrashesConfirmed|RepeatedBackoff|Blocked|Sorted"}

// overload selects the tests of decisions in overload.
var overload = []string{"./scheduler", "-run", "Goodput.*|SlowCoordinator|OwnSlots|FreeSlot"}

// gate selects the tests of what a gateway doesn't send.
var gate = []string{"./admission", "./congestion"}

// slowCoordinator selects the tests of coordinators that decide too slowly.
var slowCoordinator = []string{"./takeover", "./entry", "-run", "Takeover|Coordinator|NextCandidate"}

// shares selects the tests of shares of client accounts.
var shares = []string{"./fairqueue", "./scheduler", "-run", "Account|Burst|Charged|Grant|Share"}

// crashes selects the tests of engine crashes that hosts report late or that aren't confirmed.
var crashes = []string{"./quarantine", "./scheduler", "-run", "Delayed|Check|Later|LiveEngine|Second|NewCoordinator|RunApart"}

// cutAnswers selects the tests of engines that cut answers off and live on.
var cutAnswers = []string{"./entry", "-run", "CutAnswers"}

// parts selects the tests of parts of prompts that crash engines.
var parts = []string{"./quarantine", "./scheduler", "-run", "Parts?($|[A-Z])|SameTime"}

// unframedCrashes selects the test of engines that crash behind the head of an answer that ends with its connection.
var unframedCrashes = []string{"./entry", "-run", "PartThatCrashes.*/answers"}

// turns selects the tests of predicted turns.
var turns = []string{"./turn", "./scheduler", "-run", "Predictions|Calendar|Refused|WhenTold|AtOnce"}

var mutations = []mutation{
	{
		"Crash: a delayed report counts once", "quarantine/quarantine.go",
		"if !known.seenAt.Before(obs.Began) {", "if !known.seenAt.Before(now) {", crashes,
	},
	{
		"Crash: a second crash of a run is counted", "quarantine/quarantine.go",
		"if !known.seenAt.Before(obs.Began) {", "if true {", crashes,
	},
	{
		"Crash: an engine that was found alive hasn't crashed", "quarantine/unconfirmed.go",
		"case ucr.observation.Check == CheckAlive && (", "case false && (", crashes,
	},
	{
		"Crash: the same, over hosts", "entry/crashcheck.go",
		"		msg.Check = quarantine.CheckAlive", "		msg.Check = quarantine.CheckNone", cutAnswers,
	},
	{
		"Crash: a running check is awaited", "quarantine/unconfirmed.go",
		"case registered || ucr.isBeingChecked(now):", "case registered:", crashes,
	},
	{
		"Crash: a later answer shows that the engine lived", "quarantine/unconfirmed.go",
		"if key.engine == engine && ucr.since.Before(sentAt) {", "if false && ucr.since.IsZero() {", crashes,
	},
	{
		"Crash: an earlier answer doesn't", "quarantine/unconfirmed.go",
		"if key.engine == engine && ucr.since.Before(sentAt) {", "if _ = ucr; key.engine == engine {", crashes,
	},
	{
		"Crash: a late confirmation keeps what was reported", "scheduler/quarantine.go",
		"		obs = cor.quarantine.Unconfirmed(obs)\n", "", crashes,
	},
	{
		"Crash: suspected requests run apart on few engines", "scheduler/choose.go",
		"if sea.suspected && ene.runsSuspected() {", "if false && ene.runsSuspected() {", crashes,
	},
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
	{
		"Place: a host enforces an evacuation order right before it sends", "evacuation/gate.go",
		"	if _, blocked := gat.orders[domain]; blocked {\n		return false\n	}\n	gat.writing", "	gat.writing", placement,
	},
	{
		"Place: the state of an order is published only once all hosts enforce the order", "evacuation/board.go",
		"len(trk.hosts) == 0 || len(trk.missing(now, ord)) > 0", "len(trk.hosts) == 0", placement,
	},
	{
		"Place: a host that has left counts for as long as it may send", "evacuation/board.go",
		"leaving{name: name, at: now}", "leaving{name: name}", placement,
	},
	{
		"Place: a host that has left without the order stops sending a time after the order", "evacuation/board.go",
		"trk.maySendSince(now, lea.at) && trk.maySendSince(now, trk.seenAt[ord.Domain])", "trk.maySendSince(now, lea.at)", placement,
	},
	{
		"Place: a host that has reported an order goes on to enforce it", "evacuation/board.go",
		"trk.reported[epo][ord.Domain] != ord.Revision && ", "", placement,
	},
	{
		"Place: the former run of a host that is present has ended", "evacuation/board.go",
		" || names[lea.name] ||", " ||", placement,
	},
	{
		"Place: a host reports an order as enforced only once all its requests to the domain are written", "evacuation/gate.go",
		"		if gat.writing[domain] == 0 {\n", "		if gat.writing[domain] >= 0 {\n", placement,
	},
	{
		"Place: the published state of an earlier order isn't taken for that of the current one", "evacuation/board.go",
		"sta.Published.Revision > 0 && sta.Published.Order == sta.Order.Number() {\n		return", "sta.Published.Revision > 0 {\n		return", placement,
	},
	{
		"Place: a host publishes a state only if no other host has published one since its read", "evacuation/board.go",
		"Expect: sta.Published.Revision}", "}", placement,
	},
	{
		"Place: an evacuated engine gets no grants", "fleet/engine.go",
		"return eng.Draining || eng.Emptied", "return eng.Draining", placement,
	},
	{
		"Place: a gateway that enforces an order gets no grants in the domain", "scheduler/place.go",
		"	if pla.closed[ene.Domain] {\n		return false\n	}\n", "", placement,
	},
	{
		"Place: an order that a complete read of the store lacks is withdrawn", "entry/evacuations.go",
		"		if !given[domain] {\n", "		if false {\n", placement,
	},
	{
		"Place: grants of a cold engine stay within its cold rate", "scheduler/cold.go",
		"	cor.limiterOf(now, ene).setCold(now, until, rate)\n", "	cor.limiterOf(now, ene)\n", placement,
	},
	{
		"Place: a host checks grants against its own state of cold engines", "entry/cold.go",
		"	if left <= 0 {\n		return nil\n	}\n	age", "	if true {\n		return nil\n	}\n	age", placement,
	},
	{
		"Place: a grant of a cold engine expires", "entry/cold.go",
		"grt.cold && age < maxColdGrantAge", "grt.cold", placement,
	},
	{
		"Place: a repeated read of an entry doesn't extend the warm-up of an engine", "fleet/directory.go",
		"eng.Sequence != prev.Sequence && reported.After(until)", "reported.After(until)", placement,
	},
	{
		"Place: engines of a reopened domain are marked cold", "entry/evacuations.go",
		"coldFor(tab))\n", "coldFor(nil))\n", placement,
	},
	{
		"Place: a crashed engine is cold when it returns", "scheduler/quarantine.go",
		"		cor.markCrashedCold(now, ene)\n", "", placement,
	},
	{
		"Place: a request runs only in the allowed regions", "scheduler/place.go",
		"	return len(pla.regions) == 0 || slices.Contains", "	return true || slices.Contains", placement,
	},
	{
		"Place: the account's regions restrict the route's regions", "route/region.go",
		"Regions: intersect(rou.Regions, acc.Regions)}", "Regions: rou.Regions}", placement,
	},
	{
		"Place: clients get the addresses of regions that may hold their requests first", "entry/directory.go",
		"	if !sco.Bounded || slices.Contains(sco.Regions, own) {", "	if true || slices.Contains(sco.Regions, own) {", placement,
	},
	{
		"Rate: grants of an engine stay within its rate limit", "scheduler/rate.go",
		"	return lim.tokens >= 1\n", "	return true\n", rates,
	},
	{
		"Rate: no tokens accumulate while a scheduler has no share", "scheduler/rate.go",
		"		lim.tokens = 0\n", "", rates,
	},
	{
		"Rate: a scheduler grants only its share of the limit", "scheduler/rate.go",
		"	return lim.share * lim.limit(now)\n", "	return lim.limit(now)\n", rates,
	},
	{
		"Rate: the answer to an older grant doesn't end the limit", "scheduler/rate.go",
		"!rnn.inherited && rnn.grantedAt.After(lim.signaledAt)", "!rnn.inherited", rates,
	},
	{
		"Rate: the answer to an inherited run doesn't end the limit", "scheduler/rate.go",
		"!rnn.inherited && rnn.grantedAt.After(lim.signaledAt)", "rnn.grantedAt.After(lim.signaledAt)", rates,
	},
	{
		"Rate: the token of a grant that isn't used is returned", "scheduler/runs.go",
		"		ene.limiter.refund(rnn.gateway)\n", "", rates,
	},
	{
		"Rate: a request that can't be granted within the limit is refused at once", "scheduler/serve.go",
		"	case han == handleNormal && cor.refuseRateLimited(", "	case false && cor.refuseRateLimited(", rates,
	},
	{
		"Rate: a host returns a grant that ignores the limit", "entry/barred.go",
		"	if err := hos.checkRate(eng.ID, grt); err != nil {\n		return err\n	}\n", "", rates,
	},
	{
		"Rate: a host returns a rate-limited grant that is too old", "entry/barred.go",
		"GrantRateLimited && age < maxRateGrantAge", "GrantRateLimited && age < time.Hour", rates,
	},
	{
		"Rate: grants report the end of the limit", "scheduler/rate.go",
		"	case ene.rateEnded:\n		return reservation.GrantRateUnlimited\n", "", rates,
	},
	{
		"Rate: a host accepts the end of the limit only with a grant requested after the limit", "entry/barred.go",
		" && grt.requestedAt.After(lim.ReceivedAt):", ":", rates,
	},
	{
		"Rate: the answer to a different request doesn't end the limit", "entry/notices.go",
		"	case !hrd.Stray && ntc.received", "	case ntc.received", rates,
	},
	{
		"Rate: the answer to a request sent before the limit doesn't end it", "fleet/notices.go",
		"	return known && sent.After(lim.ReceivedAt)\n", "	return known && (true || sent.After(lim.ReceivedAt))\n", rates,
	},
	{
		"Rate: an invalid rate limit doesn't end the limit", "entry/notices.go",
		"	case hrd.Head.InvalidRate != \"\":\n", "	case false:\n", rates,
	},
	{
		"Rate: a rejection by the rate limit doesn't count as a failure", "entry/attempt.go",
		" || ans.Head.HasRate\n", "\n", rates,
	},
	{
		"Word: a host checks the engine on receiving a grant", "entry/reserve.go",
		"		if err := hos.checkEngine(eng, exc.grant); err != nil {", "		if err := hos.checkEngine(eng, exc.grant); false && err != nil {", signals,
	},
	{
		"Word: a host checks the engine again right before it sends", "entry/attempt.go",
		"	if err := hos.checkEngine(eng, exc.grant); err != nil {\n		return err\n	}\n	return hos.evac", "	return hos.evac", signals,
	},
	{
		"Word: a signal in the answer of a different engine is ignored", "entry/notices.go",
		"	case head.Instance != \"\" && head.Instance != hrd.Engine.Name, head.Misdirected && head.Instance == \"\":\n		return nil\n", "", signals,
	},
	{
		"Word: a draining engine gets no grants", "scheduler/notice.go",
		"	return sig.draining || now.Before(sig.sharedBackoffUntil)", "	return now.Before(sig.sharedBackoffUntil)", signals,
	},
	{
		"Word: a host gets no grants of an engine that asked it to back off", "scheduler/notice.go",
		"	return sig.blocksAll(now) || now.Before(sig.backoffUntil[gateway])\n", "	return sig.blocksAll(now)\n", signals,
	},
	{
		"Word: only one request at a time probes an engine after its backoff", "scheduler/notice.go",
		" || sig.probing(now)\n", "\n", signals,
	},
	{
		"Word: a host that may become the coordinator receives the known signals", "entry/sessions.go",
		"	bro.sendNotices(lin.member)\n", "", signals,
	},
	{
		"Word: a backoff request doesn't count as a failure", "scheduler/runs.go",
		"	case rel.Throttled:\n		ene.health.recordUnknown()\n", "", signals,
	},
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
	{
		"Paths: a host that reaches no engine forwards", "entry/forward.go",
		"	for _, mem := range hosts {\n		fwd, err :=", "	for _, mem := range hosts[:0] {\n		fwd, err :=",
		[]string{"./entry"},
	},
	{
		"Paths: a host that reaches no engine reports no failure of an engine", "entry/forward.go",
		"	if att.pathLost {\n		att.release.Failed = false", "	if att.pathLost {\n		att.pathLost = false",
		[]string{"./entry"},
	},
	{
		"Paths: a refused probe counts only beside an accepted connection", "entry/forward.go",
		"	if hos.paths.verify(ctx, hos.clock.Now(), eng.ID) != egress.PathOpen {\n		return upstream.ProbeUnknown\n	}\n", "",
		[]string{"./entry"},
	},
	{
		"Paths: a forwarding host checks the key itself", "entry/forwarder.go",
		"	case !req.Public && !snp.holdsKey(platform.AccountOf(req.Header), req.Key):", "	case false && !snp.holdsKey(platform.AccountOf(req.Header), req.Key):",
		[]string{"./entry", "-run", "ForwarderChecksRequests"},
	},
	{
		"Paths: a stopping host waits for what it forwards", "entry/forwarder.go",
		"	hos.forwards.add()\n", "	hos.forwards.add()\n	hos.forwards.remove()\n",
		[]string{"./entry"},
	},
	{
		"Eras: an era is learned from another host", "platform/era.go",
		"		if uint64(era) <= known ||", "		if true ||",
		[]string{"./platform"},
	},
	{
		"Eras: renewals after an outage are spread", "entry/lease.go",
		"	return renewInterval(hosts) / 2\n", "	return registerJitter\n",
		[]string{"./entry"},
	},
	{
		"Eras: a watch of an earlier era is gone", "platform/client.go",
		"ser.Status == http.StatusGone || err == nil && era != after.Era() {", "ser.Status == http.StatusGone {",
		[]string{"./platform"},
	},
	{
		"Eras: a condition of an earlier era isn't sent", "platform/client.go",
		"	if !wri.Blind && wri.Expect != 0 && wri.Expect.Era() < known {\n		return 0, &store.ConflictError{Key: wri.Key, Expect: wri.Expect}\n	}\n", "",
		[]string{"./platform"},
	},
	{
		"Eras: a lease of an earlier era isn't renewed", "platform/client.go",
		"	if err == nil && era != id.Era {\n", "	if false && era != id.Era {\n",
		[]string{"./platform"},
	},
	{
		"Eras: newer knowledge stays in force", "entry/restored.go",
		"	if !wat.inRestoreGrace(now) {\n", "	if true {\n",
		[]string{"./entry"},
	},
	{
		"Eras: the coordinator writes the hosts' values again", "entry/rewrites.go",
		"			if rew.host.broker.coordinates() {\n", "			if false {\n",
		[]string{"./entry"},
	},
	{
		"Parts: a held part is refused", "scheduler/parts.go",
		"	if worst.level != quarantine.LevelHeld {\n", "	if true {\n",
		parts,
	},
	{
		"Parts: an answer clears its parts", "scheduler/parts.go",
		"			cor.quarantine.RecordAnswer(now, dig)\n", "",
		parts,
	},
	{
		"Parts: engines that crash at the same time count once", "scheduler/parts.go",
		"	return par.Began.After(cor.quarantine.LastCrash(par.Digest)) && ", "	return ",
		parts,
	},
	{
		"Parts: the parts of fewest answers are suspected", "quarantine/part.go",
		"		if count == fewest {\n", "		if true {\n",
		parts,
	},
	{
		"Parts: a part that explains earlier crashes is the likelier cause", "scheduler/parts.go",
		"cor.quarantine.Crashes(par.Digest) < most })", "false })",
		parts,
	},
	{
		"Parts: one request with a suspected part runs at a time", "scheduler/parts.go",
		"	case cor.exclusiveParts[worst.digest] > 0:\n", "	case false:\n",
		parts,
	},
	{
		"Parts: a known part lifts the restriction of sources", "scheduler/parts.go",
		"	if held {\n", "	if false {\n",
		parts,
	},
	{
		"Parts: a stream without an event that ends with its connection isn't complete", "entry/ended.go",
		"	if att.release.DecodeTokens == 0 && !exc.isResumption() {\n		return true\n	}\n", "	if att.release.DecodeTokens == 0 {\n		return false\n	}\n",
		unframedCrashes,
	},
	{
		"Brittle: no request waits at a brittle engine", "scheduler/brittle.go",
		"	svc.setEngineQueue(0)\n", "",
		[]string{"./entry"},
	},
}
