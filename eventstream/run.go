package eventstream

import "math/big"

// Event is what an event of a stream says of its place.
type Event struct {
	// ID is the event's id; empty if it has none.
	ID ID
	// IsComment is set if it has neither data nor a field for an id: clients see no event in it.
	IsComment bool
}

// Run follows the events that one run of an engine brings, in their order.
type Run struct {
	position Position
	// highest is the highest id so far that is a number; nil if there is none.
	highest *big.Int
	// isDisordered is set once an id isn't above the ones before it.
	isDisordered bool
}

// NewRun returns a run that begins at the position of its client.
func NewRun(pos Position) *Run {
	run := &Run{position: pos}
	if num, isNumber := LastEvent(pos).Number(); isNumber {
		run.highest = num
	}
	return run
}

// Position returns the position of the client behind the events so far.
func (run *Run) Position() Position { return run.position }

// Next moves the position behind an event that is passed on. The pages ask for rising ids, so that an event without one lies
// between those around it; an id that isn't a number can't be held against another.
func (run *Run) Next(evt Event) {
	if evt.IsComment {
		return
	}
	run.position = Unknown{}
	num, isNumber := evt.ID.Number()
	if !isNumber {
		return
	}
	if run.highest != nil && num.Cmp(run.highest) <= 0 {
		run.isDisordered = true
	}
	run.highest = num
	if !run.isDisordered {
		run.position = Behind{ID: evt.ID}
	}
}
