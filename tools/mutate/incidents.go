package main

// bursts selects the tests of sources that are present as many engines crash at once.
var bursts = []string{"./quarantine", "-run", "CrashOfManyEngines|SourcesOfManyCrashes"}

// incidentMutations remove what incidents have shown to be needed, outside of the records of versions.
var incidentMutations = []mutation{
	{
		"Clock: a suspension is looked for until it is counted", "clock/clock.go",
		"	defer clk.divergence.Store(divergence)\n", "	clk.divergence.Store(divergence)\n",
		[]string{"./clock", "-run", "DuringDetection"},
	},
	{
		"Moved: a reservation is withdrawn where it waits", "entry/elect.go",
		"bro.send(pen.coordinator, reservation.Withdraw{", "bro.send(old, reservation.Withdraw{",
		[]string{"./entry", "-run", "MovedReservation"},
	},
	{
		"Forward: a host that sends an engine nothing says so", "entry/forwarder.go",
		"peer.ForwardBlocked, Detail: \"the engine isn't known, or takes no requests\"", "peer.ForwardNoPath, Detail: \"the engine isn't known, or takes no requests\"",
		[]string{"./entry", "-run", "DisqualifyForwarders"},
	},
	{
		"Forward: what a host doesn't send says nothing of its paths", "entry/paths.go",
		"	if opened == peer.ForwardBlocked {\n", "	if false {\n",
		[]string{"./entry", "-run", "DisqualifyForwarders"},
	},
	{
		"Burst: crashes at once are judged together", "quarantine/burst.go",
		"	if total < minBurst {\n", "	if total >= 0 {\n",
		bursts,
	},
	{
		"Burst: a restriction from the first crashes is lifted", "quarantine/source.go",
		"		if sta.restricted && !sta.restrictedAt.Before(bur.began()) {\n", "		if false {\n",
		bursts,
	},
	{
		"Burst: coincidence explains a presence up to some deviations", "quarantine/burst.go",
		"excess >= minBurstDeviations*math", "excess >= 0*math",
		bursts,
	},
	{
		"Burst: a source that caused a part of it is restricted", "quarantine/burst.go",
		"	return excess >= minBurstPart*(float64(total)-expected) && ", "	return excess >= (float64(total)-expected) && ",
		bursts,
	},
}
