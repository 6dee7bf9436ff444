package eventstream

import "math/big"

// Event is what an event of a stream says of its place.
type Event struct {
	// ID is the event's id; empty if it has none.
	ID ID
	// IsComment is set if it has neither data nor a field for an id: clients see no event in it.
	IsComment bool
}

// DiscontinuityError reports a run that doesn't go on behind the event that it was asked to go on behind, or isn't seen to.
type DiscontinuityError struct {
	// Behind is the event behind which the run was to go on, Got the id that it sent; empty if it sent none.
	Behind, Got ID
}

// Error names both ids.
func (der *DiscontinuityError) Error() string {
	if der.Got == "" {
		return "the run ended without an id, which was to go on behind event " + string(der.Behind)
	}
	return "the run sent event " + string(der.Got) + ", which was to go on behind event " + string(der.Behind)
}

// Run follows the events that one run of an engine brings, in their order. A run that goes on behind an event shows by its
// first id that it does: the pages ask for rising ids, so that an engine that begins anew, or at an older event, sends an
// id that isn't above. Until then its events wait. Nothing is asked of a run that begins a stream.
type Run struct {
	position Position
	// last is the last id, at first that behind which the run is to go on.
	last ID
	// highest is the highest id so far that is a number; nil if there is none.
	highest *big.Int
	// resumes is set if the run is to go on behind an event, begun once an event of the run has been passed on.
	resumes, begun bool
	// waits is set if an event waits.
	waits bool
	// isDisordered is set once an id isn't above the ones before it.
	isDisordered bool
}

// NewRun returns a run that begins at the position of its client.
func NewRun(pos Position) *Run {
	run := &Run{position: pos, last: LastEvent(pos)}
	run.resumes = run.last != ""
	if num, isNumber := run.last.Number(); isNumber {
		run.highest = num
	}
	return run
}

// Position returns the position of the client behind the events that were passed on.
func (run *Run) Position() Position { return run.position }

// Next reports whether the event is passed on, behind those that wait, or waits for a later one. It returns a
// *DiscontinuityError if the run doesn't go on where it was to: neither the event nor those that wait may be passed on.
//
// A comment before the first event waits, too: with it goes the head of the answer, which is that of the engine whose event
// the client gets first.
func (run *Run) Next(evt Event) (passed bool, err error) {
	if evt.IsComment {
		return run.begun, nil
	}
	if run.resumes && evt.ID != "" && !run.rises(evt.ID) {
		return false, &DiscontinuityError{Behind: run.last, Got: evt.ID}
	}
	if run.resumes && !run.begun && evt.ID == "" {
		run.waits = true
		return false, nil
	}
	run.begun = true
	run.move(evt.ID)
	return true, nil
}

// End returns a *DiscontinuityError if the run has ended as complete and events still wait.
func (run *Run) End() error {
	if run.waits && !run.begun {
		return &DiscontinuityError{Behind: run.last}
	}
	return nil
}

// rises reports whether an id of a run that resumes a stream may follow the ones before it. A text can only be held against
// the last id: it isn't the same one.
func (run *Run) rises(id ID) bool {
	num, isNumber := id.Number()
	switch {
	case isNumber && run.highest != nil:
		return num.Cmp(run.highest) > 0
	case run.begun, !isNumber && run.highest == nil:
		return id != run.last
	default:
		return false
	}
}

// move moves the position behind an event that is passed on.
func (run *Run) move(id ID) {
	run.position = Unknown{}
	if id != "" {
		run.last = id
	}
	num, isNumber := id.Number()
	if !isNumber {
		return
	}
	if run.highest != nil && num.Cmp(run.highest) <= 0 {
		run.isDisordered = true
	}
	run.highest = num
	if !run.isDisordered {
		run.position = Behind{ID: id}
	}
}
