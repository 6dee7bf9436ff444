package main

// versions selects the tests of streams that are resumed at the software version that began them.
var versions = []string{"./affinity", "./scheduler", "-run", "Resum|Version|NoStream|NextRecord|RecordedVersions|Sole|NoHost|ComesBack"}

// resumedStreams selects the tests of hosts that resume streams.
var resumedStreams = []string{"./entry", "-run", "StreamsResume|HostResumes|SeveralTimes"}

// allHosts selects the tests of streams that outlast all hosts.
var allHosts = []string{"./entry", "-run", "LossOfAllHosts|RestoredStore"}

// readers selects the tests of which hosts know of a version, opens those of a version that all know of.
var (
	readers = []string{"./affinity", "-run", "Readers"}
	opens   = []string{"./entry", "-run", "VersionOpensOnce"}
)

// lost selects the tests of records that the store has lost.
var lost = []string{"./affinity", "-run", "LostRecord|RecordIsComplete"}

// late selects the tests of decisions that come after a reservation was withdrawn.
var late = []string{"./entry", "-run", "DecisionOnEarlier|NotResumedAtGrant"}

// writes selects the tests of which host writes the record of versions, begins those of what a host does before its copy of
// the store is confirmed, lone those of streams that a host with an old copy begins, and reduced those of a record that names
// less than the store's.
var (
	writes  = []string{"./affinity", "-run", "DamagedRecordIsLeft|TurnToWrite"}
	begins  = []string{"./scheduler", "-run", "FirstConfirmation"}
	lone    = []string{"./scheduler", "./entry", "-run", "LoneHost"}
	reduced = []string{"./affinity", "-run", "Reduced"}
)

// repeated selects the tests of origins that the store didn't take.
var repeated = []string{"./entry", "-run", "OriginsOfAllStreamsAreStored/store_away|OriginsBeyond"}

// versionMutations remove what keeps streams at the software version that began them.
var versionMutations = []mutation{
	{
		"Versions: a resumed stream is limited to its version", "scheduler/version.go",
		"		return ene.Version == wai.version\n", "		return true\n",
		versions,
	},
	{
		"Versions: a stream that isn't known isn't resumed among several versions", "affinity/history.go",
		"	if len(candidates) != 1 || ", "	if len(candidates) == 0 || ",
		versions,
	},
	{
		"Versions: a resumed stream goes first", "scheduler/queue.go",
		"First: wai.returned || wai.pinned,", "First: wai.returned,",
		versions,
	},
	{
		"Versions: a host resumes a stream as its own", "entry/resume.go",
		"	return exc.route.Resumable && exc.lastEvent() != \"\"\n", "	return exc.route.Resumable && exc.request.LastEvent != \"\"\n",
		resumedStreams,
	},
	{
		"Versions: the first event tells what began a stream", "scheduler/runs.go",
		"	cor.recordStream(now, rnn)\n", "",
		resumedStreams,
	},
	{
		"Versions: a coordinator relays what began streams", "entry/streams.go",
		"	bro.streams.Add(bat)\n", "",
		resumedStreams,
	},
	{
		"Versions: the service of a resumed stream is that of its first attempt", "entry/resume.go",
		"	if exc.resumedByClient() {\n		return exc.request.Resumes\n	}\n", "",
		resumedStreams,
	},
	{
		"Versions: a host that has just started hasn't seen all versions", "affinity/history.go",
		"	return his.isComplete || his.record.Number > 0", "	return true || his.record.Number > 0",
		versions,
	},
	{
		"Versions: the store's record names the versions before", "affinity/history.go",
		"	for _, version := range his.record.Versions[service] {\n", "	for _, version := range his.record.Versions[\"\"] {\n",
		versions,
	},
	{
		"Versions: no stream begins at a version before its record", "scheduler/version.go",
		"	return ene.recorded || !wai.needsRecord()\n", "	return true\n",
		versions,
	},
	{
		"Versions: a version is kept for the life of its streams", "affinity/history.go",
		"		return known && now.Sub(at) <= next.Life+removalMargin\n", "		return known && !at.Before(now)\n",
		versions,
	},
	{
		"Versions: a version that the record names anew may have served until now", "affinity/history.go",
		"			if missed || !former.Has(service, version) {\n", "			if missed && false {\n",
		versions,
	},
	{
		"Versions: the record of an earlier era isn't complete", "affinity/history.go",
		"rec.Number > 0 && rec.Era == era\n", "rec.Number > 0\n",
		allHosts,
	},
	{
		"Versions: origins are stored while several versions serve", "entry/origins.go",
		"	ori.unwritten.Add(bat)\n", "",
		allHosts,
	},
	{
		"Versions: a conclusion needs a current copy", "affinity/history.go",
		"len(candidates) != 1 || !his.IsCurrent(now) ||", "len(candidates) != 1 ||",
		versions,
	},
	{
		"Versions: a host tells why it can't conclude", "scheduler/version.go",
		"	case !cor.versions.IsCurrent(now):\n", "	case false:\n",
		versions,
	},
	{
		"Versions: a version that joins is announced", "affinity/record.go",
		"	if announce {\n", "	if announce && rec.Announced != nil {\n",
		versions,
	},
	{
		"Versions: no stream begins at an announced version", "affinity/history.go",
		" && !his.record.IsAnnounced(service, version)\n", "\n",
		versions,
	},
	{
		"Versions: a version opens when all hosts know of it", "affinity/history.go",
		"known >= ann.number || ", "",
		versions,
	},
	{
		"Versions: a restored store has what was announced anew", "affinity/history.go",
		"	his.era = era\n	clear(his.announced)\n", "	his.era = era\n",
		versions,
	},
	{
		"Versions: what was announced may have been opened and announced again unseen", "affinity/history.go",
		"		clear(his.announced)\n	}\n	his.observeAnnounced", "	}\n	his.observeAnnounced",
		[]string{"./affinity", "-run", "SecondAnnouncement"},
	},
	{
		"Versions: a deregistered host concludes on for a while", "affinity/readers.go",
		"			rdr.until = now.Add(OpenAfter)\n		}\n	}\n	maps", "			rdr.until = now\n		}\n	}\n	maps",
		readers,
	},
	{
		"Versions: registrations have to be followed for a while", "affinity/readers.go",
		"rds.since.IsZero() || now.Sub(rds.since) < OpenAfter", "rds.since.IsZero()",
		readers,
	},
	{
		"Versions: hosts report the record that they have", "entry/versions.go",
		"VersionsKnown{Number: bro.origins.known}", "VersionsKnown{}",
		opens,
	},
	{
		"Late: a decision is one on the present submission", "entry/submission.go",
		" || pen.reserve.Ballot != bal {\n", " {\n",
		late,
	},
	{
		"Late: a host resumes its answer at its version", "entry/resume.go",
		"ori.IsKnown() && eng.Version != ori.Version", "ori.IsKnown() && eng.Version == \"\"",
		late,
	},
	{
		"Absence: a record that the store has lost isn't confirmed", "affinity/history.go",
		"	if his.isLost {\n		return\n	}\n", "",
		lost,
	},
	{
		"Absence: a lost record is restored as one that may lack versions", "affinity/history.go",
		"		if !his.IsCurrent(now) {\n", "		if false {\n",
		lost,
	},
	{
		"Absence: reports of a lost record open nothing", "affinity/history.go",
		"		known = 0\n", "",
		lost,
	},
	{
		"Absence: a record is complete with all that was seen", "affinity/history.go",
		"		his.addSeen(now, &next)\n", "",
		lost,
	},
	{
		"Absence: a record is complete only as one has followed the store", "affinity/history.go",
		"next.Era != era && his.IsCurrent(now) &&", "next.Era != era &&",
		lost,
	},
	{
		"Absence: the first record of versions names one", "affinity/history.go",
		"	if next.Number == 0 && !changed {\n", "	if false {\n",
		[]string{"./affinity", "-run", "FirstRecord"},
	},
	{
		"Absence: an old copy doesn't show that a stop isn't planned", "entry/crash.go",
		"	return hos.snapshotAge(now) <= maxStopCopyAge ||", "	return true ||",
		[]string{"./entry", "-run", "PlannedStop"},
	},
	{
		"Await: a resumption waits for the first confirmation", "scheduler/await.go",
		"(basis == OriginStale || !cor.mayBegin(now, res))", "!cor.mayBegin(now, res)",
		begins,
	},
	{
		"Await: a stream that begins waits for the first confirmation", "scheduler/await.go",
		"(basis == OriginStale || !cor.mayBegin(now, res))", "basis == OriginStale",
		begins,
	},
	{
		"Await: the first confirmation ends the wait", "scheduler/await.go",
		"	case unr.unconfirmed && cor.versions.WasConfirmed():\n", "	case false:\n",
		begins,
	},
	{
		"Lone: a host with an old copy begins no streams", "scheduler/version.go",
		" || cor.leads || cor.versions.IsCurrent(now)", " || true",
		lone,
	},
	{
		"Lone: hosts that lead most go on beginning streams", "scheduler/version.go",
		" || cor.leads || cor.versions.IsCurrent(now)", " || cor.versions.IsCurrent(now)",
		lone,
	},
	{
		"Lone: a host that schedules for itself doesn't lead", "entry/elect.go",
		" && (bro.isLeader() || hosts == 1)", "",
		lone,
	},
	{
		"Reduced: what isn't stored yet concludes nothing", "affinity/history.go",
		"	for _, version := range his.unstored[service] {\n		candidates[version] = true\n	}\n", "",
		reduced,
	},
	{
		"Reduced: a second reduction keeps what the first took out", "affinity/history.go",
		"	if unstored == nil {\n", "	if true {\n",
		reduced,
	},
	{
		"Repeated: origins are written again after a failed write", "entry/origins.go",
		"			hos.broker.repeatOrigins()\n", "",
		repeated,
	},
	{
		"Repeated: too many waiting origins are collected again", "entry/origins.go",
		"affinity.Outbox{}, 0, true\n", "affinity.Outbox{}, 0, false\n",
		repeated,
	},
	{
		"Record: a host that starts leaves a damaged record to others", "affinity/turn.go",
		"	case trn.IsLost && !trn.Knows:\n", "	case trn.IsLost && !trn.Knows && !trn.Coordinates:\n",
		writes,
	},
	{
		"Record: a damaged record is written by other hosts, too", "affinity/turn.go",
		"trn.IsLost || trn.Lacks\n", "trn.Lacks\n",
		writes,
	},
	{
		"Record: hosts that know the record write before those that don't", "affinity/turn.go",
		"unknowingWait = 3 * othersWait", "unknowingWait = othersWait",
		writes,
	},
}
