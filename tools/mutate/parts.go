package main

// parts selects the tests of parts of prompts that crash engines.
var parts = []string{"./quarantine", "./scheduler", "-run", "Parts?($|[A-Z])|SameTime"}

// unframedCrashes selects the test of engines that crash behind the head of an answer that ends with its connection.
var unframedCrashes = []string{"./entry", "-run", "PartThatCrashes.*/answers"}

// partMutations remove what finds the parts of prompts that crash engines.
var partMutations = []mutation{
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
