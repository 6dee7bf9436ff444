package main

// signals selects the tests of engine signals.
var signals = []string{"./entry", "./scheduler", "./fleet", "-run", "Notice|Signal|Backoff|Draining|Blocked|Crashes|Published|Reported|EarlyAnswer|ClientDisconnect|Unrecognized"}

// rates selects the tests of rate limits.
var rates = []string{"./entry", "./scheduler", "./fleet", "-run", "Rate|SpendsNoToken|DeregisteredEngine"}

// signalMutations remove what is done about rate limits and other signals of engines.
var signalMutations = []mutation{
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
}
