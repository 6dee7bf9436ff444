package main

// placement selects the tests of the evacuation of failure domains, of cold engines and of regions.
var placement = []string{"./evacuation", "./entry", "./scheduler", "./fleet", "./route", "-run", "Evacuat|Order|Domain|Cold|Warm|Region|Allowed|Enforce|StartingHost|Outside|Addresses|Unreachable|Retry|Poison|RejectedAtOnce|Reported|Unrecognized|NewSession|CrashesConfirmed|RepeatedBackoff|Blocked|Sorted"}

// placeMutations remove what keeps requests to the places where they may run.
var placeMutations = []mutation{
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
}
