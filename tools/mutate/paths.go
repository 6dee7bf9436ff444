package main

// pathMutations remove what is done about engines that a host doesn't reach.
var pathMutations = []mutation{
	{
		"Paths: a host that reaches no engine forwards", "entry/forward.go",
		"	for _, mem := range hosts {\n		fwd, err :=", "	for _, mem := range hosts[:0] {\n		fwd, err :=",
		[]string{"./entry"},
	},
	{
		"Paths: a host that reaches no engine reports no failure of an engine", "entry/forward.go",
		"	if att.pathLost {\n		att.release.Failed = false", "	if att.pathLost {\n		att.pathLost = false",
		[]string{"./entry"},
	},
	{
		"Paths: a refused probe counts only beside an accepted connection", "entry/forward.go",
		"	if hos.paths.verify(ctx, hos.clock.Now(), eng.ID) != egress.PathOpen {\n		return upstream.ProbeUnknown\n	}\n", "",
		[]string{"./entry"},
	},
	{
		"Paths: a forwarding host checks the key itself", "entry/forwarder.go",
		"	case !req.Public && !snp.holdsKey(platform.AccountOf(req.Header), req.Key):", "	case false && !snp.holdsKey(platform.AccountOf(req.Header), req.Key):",
		[]string{"./entry", "-run", "ForwarderChecksRequests"},
	},
	{
		"Paths: a stopping host waits for what it forwards", "entry/forwarder.go",
		"	hos.forwards.add()\n", "	hos.forwards.add()\n	hos.forwards.remove()\n",
		[]string{"./entry"},
	},
}
