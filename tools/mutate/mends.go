package main

// others selects the tests of resumptions while several hosts schedule, othersInCore those in the core.
var (
	othersInCore = []string{"./scheduler", "-run", "WhileOthersSchedule|LastMoment"}
	others       = []string{"./entry", "-run", "AwaitsUnknownStreams"}
)

// unopened selects the tests of a decision's engines that aren't open, and unopenedLog that of its log line.
var (
	unopened    = []string{"./scheduler", "-run", "EnginesThatAreNotOpen"}
	unopenedLog = []string{"./entry", "-run", "LogNamesEngines"}
)

// left selects the tests of hosts that left before an evacuation.
var (
	left      = []string{"./evacuation", "-run", "MayBeCutOff|GivenAgain|UsersBound"}
	leftHosts = []string{"./entry", "-run", "OrderWaitsForHostsThatLeft"}
)

// mendMutations remove what single faults of the product have led to.
var mendMutations = []mutation{
	{
		"Others: an unknown stream is awaited while other hosts schedule", "scheduler/await.go",
		"	if basis == OriginUnknown && cor.othersSchedule {\n", "	if false {\n",
		othersInCore,
	},
	{
		"Others: a host that schedules for all awaits no unknown stream", "scheduler/await.go",
		"	if basis == OriginUnknown && cor.othersSchedule {\n", "	if basis == OriginUnknown {\n",
		othersInCore,
	},
	{
		"Others: a host with an old copy refuses at once", "scheduler/await.go",
		"	if basis == OriginUnknown && cor.othersSchedule {\n", "	if cor.othersSchedule {\n",
		othersInCore,
	},
	{
		"Others: the refusal after the wait isn't final", "scheduler/queue.go",
		"cor.expectsOrigin(now, res.Stream, inp.Origin)", "cor.expectsOrigin(now, res.Stream, OriginStale)",
		othersInCore,
	},
	{
		"Others: a host that schedules for some knows that others do, too", "entry/elect.go",
		"chosen != bro.host.epoch || bro.servedHosts() < hosts", "chosen != bro.host.epoch",
		others,
	},
	{
		"Others: a host that uses another one knows that it schedules", "entry/elect.go",
		"chosen != bro.host.epoch || bro.servedHosts() < hosts", "bro.servedHosts() < hosts",
		others,
	},
	{
		"Others: the core learns that others schedule", "scheduler/core.go",
		"= evt.Leads, evt.OthersSchedule\n", "= evt.Leads, evt.Standby\n",
		othersInCore,
	},
	{
		"Unopened: a decision names the engines that aren't open", "scheduler/queue.go",
		"		inp.Unopened = svc.unrecorded\n", "		inp.Unopened = 0\n",
		unopened,
	},
	{
		"Unopened: only what begins a stream waits for them", "scheduler/queue.go",
		"	if wai.needsRecord() {\n", "	if true {\n",
		unopened,
	},
	{
		"Unopened: the log line names them", "entry/desk.go",
		"		evt = evt.Int(\"Unopened\", inp.Unopened)\n", "",
		unopenedLog,
	},
	{
		"Left: a host sends for a margin beyond the age of its copy", "evacuation/evacuation.go",
		"min(maxCopyAge+sendMargin, maxSendsFor)", "min(maxCopyAge, maxSendsFor)",
		left,
	},
	{
		"Left: no evacuation waits beyond the users' bound", "evacuation/evacuation.go",
		"min(maxCopyAge+sendMargin, maxSendsFor)", "maxCopyAge + sendMargin",
		left,
	},
	{
		"Left: each read of an order doesn't begin the wait anew", "evacuation/board.go",
		"		if isKnown && sta.Order == known.Order {\n", "		if isKnown && false {\n",
		left,
	},
	{
		"Left: an order that is given again begins the wait anew", "evacuation/board.go",
		"		if isKnown && sta.Order == known.Order {\n", "		if isKnown {\n",
		left,
	},
	{
		"Left: what a host reported outlasts its presence", "evacuation/board.go",
		"		return !left && !trk.isPresent(epo)\n", "		return !left || !trk.isPresent(epo)\n",
		left,
	},
	{
		"Left: hosts are followed by their entries", "entry/roster.go",
		"	bro.updateSenders(now)\n", "",
		leftHosts,
	},
	{
		"Left: hosts are followed by their sessions", "entry/sessions.go",
		"	bro.updateSenders(bro.host.clock.Now())\n", "",
		leftHosts,
	},
	{
		"Left: hosts that left count for as long as they send", "entry/evacuations.go",
		"SendsFor: evacuation.SendsFor(bro.host.freshnessLimit()),", "SendsFor: 0,",
		leftHosts,
	},
}
