package main

// ended selects the tests of answers that have no length and end with their connection.
var ended = []string{"./entry", "-run", "Unframed"}

// unread selects those of answers to requests that their receivers haven't read.
var unread = []string{"./upstream", "./backend", "./entry", "-run", "Unread|ThatIsNotRead"}

// malformed selects those of heads that are none of HTTP/1.
var malformed = []string{"./transport", "./entry", "-run", "Head|TestEngineFaults"}

// endedMutations remove what tells a complete answer without a length from one that ends early.
var endedMutations = []mutation{
	{
		"Ended: a stream without a length is complete only if its engine lives", "entry/ended.go",
		"return !exc.host.isWhole(ctx, exc.request.ID, att.engine, ans)", "return false", ended,
	},
	{
		"Ended: an answer without a length is complete only if its engine lives", "entry/attempt.go",
		"!exc.host.isWhole(ctx, exc.request.ID, att.engine, ans)", "false", ended,
	},
	{
		"Ended: a forwarded answer without a length is complete only if its engine lives", "entry/forwarder.go",
		"!fbo.conn.host.isWhole(fbo.context, fbo.request, fbo.conn.engine, fbo.answer)", "false", ended,
	},
	{
		"Ended: an engine that is ending is looked at twice", "entry/ended.go",
		" && hos.probeEngine(ctx, eng) == upstream.ProbeListens", "", ended,
	},
	{
		"Ended: the end of a connection isn't that of an answer while the request is being written", "upstream/unframed.go",
		"	if exc.writeErr != nil {", "	if false {", unread,
	},
	{
		"Ended: a connection that is reset after its end has broken off", "upstream/unframed.go",
		"	if err := exc.connection.pendingError(); err != nil {", "	if err := exc.connection.pendingError(); false {", unread,
	},
	{
		"Ended: so it is in a backend server's answer", "backend/backend.go",
		" && !upl.written.Load()", " && false", unread,
	},
	{
		"Heads: an answer has a valid status", "transport/head.go",
		"	if rep.StatusCode < minStatus || rep.StatusCode > maxStatus ||", "	if", malformed,
	},
	{
		"Heads: the names of an answer's fields are tokens", "transport/head.go",
		"		if !isToken(name) {", "		if false {", malformed,
	},
	{
		"Heads: they are checked for engines", "upstream/head.go",
		"transport.CheckHead(rep)", "nil", malformed,
	},
}
