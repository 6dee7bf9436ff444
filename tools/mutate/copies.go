package main

// copies selects the tests of hosts' copies of the store.
var copies = []string{"./mirror", "./peer", "-run", "Reader|Hosts|Cop|Change|Packed|Relay|Deletions|News"}

// sends selects the tests of what is checked when a request is sent, and of what counts as confirmed.
var sends = []string{"./entry", "-run", "ChangesAfterGrant|SnapshotIsPublished"}

// copyMutations remove what keeps copies of the store current.
var copyMutations = []mutation{
	{
		"Copies: a newer confirmation is passed on", "mirror/copy.go",
		"	return que.Confirmed != 0 && upd.Confirmed > que.Confirmed+confirmationGain\n", "	return false\n", copies,
	},
	{
		"Copies: readers are told that their source lost the store", "mirror/copy.go",
		"	if lost && !cop.lost {\n", "	if false {\n", copies,
	},
	{
		"Copies: a reader gets each key once", "mirror/changelog.go",
		"		clg.supersede(cha.Key)\n", "", copies,
	},
	{
		"Copies: an older change of a key is left out", "mirror/changelog.go",
		"	return found && cha.Revision <= clg.entries[idx].change.Revision\n", "	return found && idx < 0\n", copies,
	},
	{
		"Copies: hosts read in a tree", "mirror/tree.go",
		"	parent := (pos - 1) / tre.fanOut\n", "	parent := 0\n", copies,
	},
	{
		"Copies: rejected hosts begin with different hosts", "mirror/reader.go",
		"	first := int(uint64(rea.cfg.Self.Epoch) % uint64(count))\n", "	first := 0\n", copies,
	},
	{
		"Copies: an old copy is refreshed before the store is called", "mirror/reader.go",
		"	return !sit.Confirmed.IsZero() && now.Sub(sit.Confirmed) > MaxCopyAge\n", "	return false\n", copies,
	},
	{
		"Copies: entries are packed once", "peer/pack.go",
		"	if packed, known := pca.packed.Get(key); known {\n", "	if packed, known := pca.packed.Get(key); known && false {\n", copies,
	},
	{
		"Sends: the key is in force", "entry/attempt.go",
		"	case exc.account.Name != \"\" && !snp.holdsKey(exc.account.Name, exc.request.Key):\n", "	case false:\n", sends,
	},
	{
		"Sends: the engine is known and doesn't drain", "entry/attempt.go",
		"	case !found || known.Draining:\n", "	case found && !found && known.Draining:\n", sends,
	},
	{
		"Sends: a snapshot is published before it is confirmed", "entry/observe.go",
		"	if upd.complete || settled || slices.ContainsFunc(upd.changes.Changes, concernsSnapshot) {\n", "	wat.host.confirm(upd.confirmed)\n	if upd.complete || settled || slices.ContainsFunc(upd.changes.Changes, concernsSnapshot) {\n", sends,
	},
}
