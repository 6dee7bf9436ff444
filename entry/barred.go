package entry

import (
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
)

// tellNotice tells the own scheduler, the one that decides and the one that would next.
func (des *desk) tellNotice(not fleet.Notice) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.tellDeciders(reservation.EngineNotice{Notice: not})
}

// tellNotices tells a host that decides, or would next, all that engines have said to this
// one; the mutex is held.
func (des *desk) tellNotices(to fleet.Member) {
	for _, not := range des.host.notices.current() {
		des.tell(to.Epoch, reservation.EngineNotice{Notice: not})
	}
}

// BarredError reports a request that isn't sent since its engine wants nothing from this
// host.
type BarredError struct {
	Notice fleet.Notice
}

// Error names the engine and what it said.
func (ber *BarredError) Error() string {
	return "engine " + ber.Notice.Run.String() + " wants nothing from this host: " + ber.Notice.Word.String()
}

// barred returns a *BarredError for an engine that wants nothing from this host. Those who
// decide are told again: one of them granted it.
func (hos *Host) barred(run fleet.EngineID) error {
	word := hos.notices.bar(run)
	if word == nil {
		return nil
	}
	not := fleet.Notice{Run: run, Word: word}
	hos.desk.tellNotice(not)
	return &BarredError{Notice: not}
}
