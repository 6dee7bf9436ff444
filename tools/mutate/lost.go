package main

// What the records of versions that the store has lost need.
var (
	// damaged selects the tests of who writes a lost record, and when, and restored those of what it then names.
	damaged  = []string{"./entry", "-run", "WaitForThoseThatKnow|DamagedRecordIsLookedAt|LostRecordIs"}
	restored = []string{"./affinity", "-run", "LostRecord|RecordIsComplete|AfterAReport|BehindAReported|RecordIsLostBelow|RestoredRecord"}
)

// lostMutations remove what is done about a record of versions that the store has lost.
var lostMutations = []mutation{
	{
		"Damage: the wait for those that know a record begins with its damage", "entry/origins.go",
		"	if !ori.isDamaged() {\n", "	if false {\n",
		damaged,
	},
	{
		"Damage: each damaged value doesn't begin the wait anew", "entry/origins.go",
		"	if !ori.isDamaged() {\n", "	if true {\n",
		damaged,
	},
	{
		"Damage: a damaged record is looked at when it is read", "entry/origins.go",
		"	if now.Sub(ori.damagedAt) > versionsInterval {\n", "	if false {\n",
		damaged,
	},
	{
		"Damage: a damaged record is looked at once a second", "entry/origins.go",
		"	if now.Sub(ori.damagedAt) > versionsInterval {\n", "	if true {\n",
		damaged,
	},
	{
		"Writer: other hosts leave the record to the coordinator", "affinity/turn.go",
		"othersWait = 250 * time.Millisecond", "othersWait = 0 * time.Millisecond",
		writes,
	},
	{
		"Writer: the coordinator has its turn whatever it lacks", "affinity/turn.go",
		"		return 0, true\n", "		return 0, trn.IsLost || trn.Lacks\n",
		writes,
	},
	{
		"Writer: hosts that know the record write before the others' delay ends", "affinity/turn.go",
		"MaxDelay = othersWait", "MaxDelay = unknowingWait",
		writes,
	},
	{
		"Writer: a host that knows no record writes one if none does", "affinity/turn.go",
		"		return unknowingWait, true\n", "		return unknowingWait, trn.Coordinates && !trn.IsLost\n",
		writes,
	},
	{
		"Writer: a damaged record is lost where none is known", "entry/versions.go",
		"ori.isDamaged() || bro.core.AreVersionsLost(),", "bro.core.AreVersionsLost(),",
		damaged,
	},
	{
		"Writer: a record that can be read may be one begun anew", "entry/versions.go",
		"ori.isDamaged() || bro.core.AreVersionsLost(),", "ori.isDamaged(),",
		damaged,
	},
	{
		"Writer: a host that knows no record says so", "entry/versions.go",
		"bro.core.Versions().Number > 0,", "bro.core.Versions().Number >= 0,",
		damaged,
	},
	{
		"Writer: hosts other than the coordinator write a lost record again", "entry/versions.go",
		"(coordinates || bro.core.AreVersionsLost())", "coordinates",
		damaged,
	},
	{
		"Lost: a record that can't be read is lost", "entry/versions.go",
		"	bro.core.FindOlderVersions(now, affinity.Record{})\n", "",
		damaged,
	},
	{
		"Lost: a record that was deleted is lost", "entry/versions.go",
		"	bro.core.FindOlderVersions(wat.host.clock.Now(), affinity.Record{})\n", "",
		damaged,
	},
	{
		"Lost: a record below the known one was begun anew", "entry/versions.go",
		"	bro.core.FindOlderVersions(bro.host.clock.Now(), rec)\n", "",
		damaged,
	},
	{
		"Lost: reports tell of a record that the store has lost", "entry/versions.go",
		"	bro.core.ObserveVersionsReport(number)\n", "",
		damaged,
	},
	{
		"Lost: a lost record isn't written again as it was", "entry/versions.go",
		"return bro.core.RestoredVersions(now), ", "return bro.core.Versions(), ",
		damaged,
	},
	{
		"Lost: what the store had before a reduction isn't older", "affinity/history.go",
		"	if rec.Number >= his.known {\n", "	if rec.Number >= his.record.Number {\n",
		restored,
	},
	{
		"Lost: a reduction isn't what the store had", "affinity/history.go",
		"	his.apply(now, rec, era)\n	his.unstored", "	his.Apply(now, rec, era)\n	his.unstored",
		restored,
	},
	{
		"Lost: a record at or above the known one ends the loss", "affinity/history.go",
		"rec.Number, false, Record{}\n", "rec.Number, his.isLost, Record{}\n",
		restored,
	},
	{
		"Lost: a host that knows no record may be told of one", "affinity/history.go",
		"his.isLost || his.record.Number == 0 && his.reported > 0", "his.isLost",
		restored,
	},
	{
		"Lost: a record begun after a report announces", "affinity/history.go",
		"his.recordLost || his.reported > 0 || his.era > 0", "his.recordLost || his.era > 0",
		restored,
	},
	{
		"Lost: a record begun after a report isn't complete", "affinity/history.go",
		"(his.recordLost || his.reported > 0 || era > 0)", "(his.recordLost || era > 0)",
		restored,
	},
	{
		"Lost: a record below a reported one isn't complete", "affinity/history.go",
		"		next.Era, changed = NoEra, true\n", "		changed = true\n",
		restored,
	},
	{
		"Lost: a record below a reported one goes beyond it", "affinity/history.go",
		"		return his.reported + lostGap\n", "		return his.record.Number + 1\n",
		restored,
	},
	{
		"Lost: hosts see that they have missed changes", "affinity/history.go",
		"lostGap = 2\n", "lostGap = 1\n",
		restored,
	},
	{
		"Lost: a restored record goes beyond a reported one", "affinity/history.go",
		"max(next.Number, his.reported) + lostGap", "next.Number + lostGap",
		restored,
	},
	{
		"Lost: a restored record names all that was seen", "affinity/history.go",
		"	added := his.addSeen(now, &next)\n", "	added := false\n",
		restored,
	},
	{
		"Lost: a restored record names what was begun anew", "affinity/history.go",
		"				next.add(service, version, true)\n", "				_, _ = service, version\n",
		restored,
	},
	{
		"Lost: a restored record keeps the life of what was begun anew", "affinity/history.go",
		"		next.Life = max(next.Life, his.older.Life)\n", "",
		restored,
	},
	{
		"Lost: a restored record that names more has another number", "affinity/history.go",
		"	case added:\n		next.Number++\n", "	case added && false:\n		next.Number++\n",
		restored,
	},
}
