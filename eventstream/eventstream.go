// Package eventstream speaks of streams of events (text/event-stream, HTML standard, 9.2): what their events are called, and
// behind which of them a stream may go on at another engine.
//
// # Usage
//
//	num, isNumber := eventstream.ID("007").Number()
package eventstream
