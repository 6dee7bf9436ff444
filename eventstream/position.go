package eventstream

// Position is the place in a stream up to which its client has the events: Beginning, Behind or Unknown.
type Position interface {
	isPosition()
}

// Beginning is the position of a client that has no event. A new run of the request begins the stream.
type Beginning struct{}

// Behind is the position of a client whose last event has the ID. A run goes on there if it is sent the ID as
// Last-Event-Id.
type Behind struct {
	ID ID
}

// Unknown is the position of a client whose last event can't be named: it has no id, or none that tells whether others came
// before it. A run that begins anew, or behind an earlier event, would repeat events.
type Unknown struct{}

func (Beginning) isPosition() {}
func (Behind) isPosition()    {}
func (Unknown) isPosition()   {}

// PositionBehind returns the position behind the event that a client names; an empty ID is the beginning.
func PositionBehind(id ID) Position {
	if id == "" {
		return Beginning{}
	}
	return Behind{ID: id}
}

// LastEvent returns the event behind which a run at the position goes on; empty for none.
func LastEvent(pos Position) ID {
	if bhd, isBehind := pos.(Behind); isBehind {
		return bhd.ID
	}
	return ""
}

// CanGoOn reports whether a run can bring the events behind the position, and none before it.
func CanGoOn(pos Position) bool {
	_, isUnknown := pos.(Unknown)
	return !isUnknown
}
