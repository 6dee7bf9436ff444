package main

// crashes selects the tests of engine crashes that hosts report late or that aren't confirmed.
var crashes = []string{"./quarantine", "./scheduler", "-run", "Delayed|Check|Later|LiveEngine|Second|NewCoordinator|RunApart"}

// cutAnswers selects the tests of engines that cut answers off and live on.
var cutAnswers = []string{"./entry", "-run", "CutAnswers"}

// crashMutations remove what tells engines that crashed from those that live.
var crashMutations = []mutation{
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
}
