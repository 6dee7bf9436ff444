package main

// ended selects the tests of answers that have no length and end with their connection.
var ended = []string{"./entry", "-run", "Unframed"}

// endedMutations remove what tells a complete answer without a length from one that ends early.
var endedMutations = []mutation{
	{
		"Ended: a stream without a length is complete only if its engine lives", "entry/ended.go",
		"return !exc.host.isAlive(ctx, exc.request.ID, att.engine)", "return false", ended,
	},
	{
		"Ended: an answer without a length is complete only if its engine lives", "entry/attempt.go",
		"!exc.host.isAlive(ctx, exc.request.ID, att.engine)", "false", ended,
	},
	{
		"Ended: a forwarded answer without a length is complete only if its engine lives", "entry/forwarder.go",
		"!fbo.conn.host.isAlive(fbo.context, fbo.request, fbo.conn.engine)", "false", ended,
	},
	{
		"Ended: an engine that is ending is looked at twice", "entry/ended.go",
		" && hos.probeEngine(ctx, eng) == upstream.ProbeListens", "", ended,
	},
}
