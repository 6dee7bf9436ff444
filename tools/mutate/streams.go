package main

// continued selects the tests of streams that go on behind an event, readEvents those of the reader.
var (
	continued  = []string{"./eventstream", "./entry", "-run", "Position|DoesNotGoOn|Comment|EachPieceOnce|EachEvent|GoesOn|AnyEvent|BeginsAnew|SoundStream|NothingIsResumed"}
	readEvents = []string{"./upstream", "-run", "Event|Lines|Stream"}
)

// stated selects those of values that a peer states as 0.
var stated = []string{"./platform", "./upstream", "./route", "./entry", "-run", "DeadlineIs(Over|ATime)|IdleLimit|TokensOfZero|NoTokens|LengthHint|CostIs"}

// partIDs selects those of parts whatever their ids.
var partIDs = []string{"./quarantine", "./scheduler", "-run", "PartIsHeld|ReportedParts"}

// streamMutations remove what keeps a client from getting an event twice, and what tells 0 from a value that isn't there.
var streamMutations = []mutation{
	{
		"Streams: behind an event without an id nothing goes on", "eventstream/run.go",
		"	run.position = Unknown{}\n", "", continued,
	},
	{
		"Streams: where nothing goes on a stream breaks off", "entry/attempt.go",
		" && eventstream.CanGoOn(exc.position)", " && (true || eventstream.CanGoOn(exc.position))", continued,
	},
	{
		"Streams: ids that don't rise are no place to go on behind", "eventstream/run.go",
		"		run.isDisordered = true\n", "", continued,
	},
	{
		"Streams: an id of a resumed run is held against the one before", "eventstream/run.go",
		" && !run.rises(evt.ID)", " && false", continued,
	},
	{
		"Streams: the same number isn't above", "eventstream/run.go",
		"		return num.Cmp(run.highest) > 0\n", "		return num.Cmp(run.highest) >= 0\n", continued,
	},
	{
		"Streams: the same text isn't another", "eventstream/run.go",
		"		return id != run.last\n", "		return true\n", continued,
	},
	{
		"Streams: a text doesn't go on behind a number", "eventstream/run.go",
		"	default:\n		return false\n", "	default:\n		return true\n", continued,
	},
	{
		"Streams: events of a resumed run without an id wait", "eventstream/run.go",
		"		run.waits = true\n		return false, nil\n", "		run.waits = true\n", continued,
	},
	{
		"Streams: events that wait at the end aren't passed on", "eventstream/run.go",
		"	if run.waits && !run.begun {", "	if false {", continued,
	},
	{
		"Streams: a comment doesn't pass on the head of an engine whose event doesn't come", "eventstream/run.go",
		"		return run.begun, nil\n", "		return true, nil\n", continued,
	},
	{
		"Streams: nothing is asked of a run that begins a stream", "eventstream/run.go",
		"	if run.resumes && evt.ID != \"\" && ", "	if evt.ID != \"\" && ", continued,
	},
	{
		"Streams: only a resumable route resumes", "entry/resume.go",
		"	return exc.route.Resumable && exc.request.LastEvent != \"\"\n", "	return exc.request.LastEvent != \"\"\n", continued,
	},
	{
		"Streams: what isn't passed on isn't lost when more comes", "entry/stream.go",
		"reader.NextBehind(waiting.raw)", "reader.Next()", continued,
	},
	{
		"Streams: the last id of an event counts", "upstream/events.go",
		"			evt.ID = eventstream.ID(bytes.Trim(value, blanks))\n", "			evt.ID = max(evt.ID, eventstream.ID(bytes.Trim(value, blanks)))\n", readEvents,
	},
	{
		"Streams: an event with data is no comment", "upstream/events.go",
		"	case dataField:\n		evt.IsComment = false\n", "	case dataField:\n", readEvents,
	},
	{
		"Streams: the error at the end of a source is kept", "upstream/events.go",
		"		evr.failed = err\n", "", readEvents,
	},
	{
		"Streams: a line feed behind a carriage return belongs to it", "upstream/events.go",
		"	evr.returnsAndFeeds = part[0] == '\\n'\n", "	evr.returnsAndFeeds = false\n", readEvents,
	},
	{
		"Stated: a deadline of 0 is one", "entry/caller.go",
		"	if exc.request.HasDeadline {", "	if exc.request.Deadline > 0 {", stated,
	},
	{
		"Stated: an idle limit of 0 is one", "upstream/answer.go",
		"	if ans.Head.HasIdleLimit {", "	if ans.Head.IdleLimit > 0 {", stated,
	},
	{
		"Stated: 0 tokens are stated", "route/route.go",
		"	case stated:\n", "	case stated && tokens > 0:\n", stated,
	},
	{
		"Stated: a part with the id 0 is a part", "quarantine/part.go",
		"	return sub.Digest == PartDigest(sub.Service, sub.Part)\n", "	return sub.Part != 0\n", partIDs,
	},
}
