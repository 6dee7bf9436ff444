package main

// resignations selects the tests of coordinators that can't write to the store.
var resignations = []string{"./takeover", "./entry", "-run", "EvacuationIsPublishedWithout|WritesFail|ServesOthers"}

// resignMutations remove what replaces a coordinator that can't write to the store.
var resignMutations = []mutation{
	{
		"Resign: a coordinator without the store is replaced", "entry/resign.go",
		"		cow.host.broker.resign(cause)", "", resignations,
	},
	{
		"Resign: a successful write ends a series of failures", "takeover/writes.go",
		"{ *wri = Writes{} }", "{}", resignations,
	},
	{
		"Resign: an answer from before the failures shows nothing", "takeover/writes.go",
		"served.After(wri.failingSince) && ", "", resignations,
	},
	{
		"Resign: the store is assumed to serve others for a while only", "takeover/writes.go",
		" && now.Sub(served) <= mirror.MaxServedAge", " && now.Sub(served) <= time.Minute+mirror.MaxServedAge", resignations,
	},
	{
		"Resign: copies read through other hosts may be a watch older", "takeover/writes.go",
		"now.Sub(served) <= mirror.MaxServedAge", "now.Sub(served) <= mirror.MaxCopyAge", resignations,
	},
}
