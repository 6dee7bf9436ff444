// Package eventstream decides which events of a stream (text/event-stream, HTML standard, 9.2) are passed on, and behind which
// of them the stream may go on at another engine.
//
// A client gets each event once and in order, whichever engines brought them. A host knows the place of an event by its id
// alone, so it sends the id of the last event to the next engine, checks that the ids of that engine's run are above it, and
// lets the stream break off where it can't tell.
//
// # Usage
//
//	pos := eventstream.PositionBehind(req.LastEvent)
//	run := eventstream.NewRun(pos)         // one run of an engine, sent LastEvent(pos)
//	passed, err := run.Next(evt)           // for each of its events
//	pos = run.Position()
//	again := eventstream.CanGoOn(pos)      // if it breaks off
package eventstream
