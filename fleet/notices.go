package fleet

import "time"

// Bar is why this host may not send an engine anything.
type Bar uint8

const (
	// BarNone is no reason.
	BarNone Bar = iota
	// BarDraining is an engine that has said that it leaves.
	BarDraining
	// BarBackoff is an engine that has asked this host for a pause.
	BarBackoff
)

// String returns the bar's name.
func (bar Bar) String() string {
	names := [...]string{"None", "Draining", "Backoff"}
	if int(bar) >= len(names) {
		return "Invalid"
	}
	return names[bar]
}

// Notices are what engines have said of themselves in their answers to this host. An
// answer comes straight from the engine, also while the store is away or hasn't taken what
// the engine wrote there.
type Notices struct {
	// draining are the runs that leave, by when they first said so.
	draining map[EngineID]time.Time
	// backoffs are until when runs want nothing.
	backoffs map[EngineID]time.Time
}

// NewNotices returns the notices of a host that has heard nothing yet.
func NewNotices() *Notices {
	return &Notices{draining: make(map[EngineID]time.Time), backoffs: make(map[EngineID]time.Time)}
}

// Drain notes that a run said that it leaves, and reports whether that is news.
func (ntc *Notices) Drain(now time.Time, run EngineID) bool {
	if _, known := ntc.draining[run]; known {
		return false
	}
	ntc.draining[run] = now
	return true
}

// BackOff notes that a run wants nothing for so long. A shorter wish doesn't end a longer
// one.
func (ntc *Notices) BackOff(now time.Time, run EngineID, dur time.Duration) {
	if until := now.Add(dur); until.After(ntc.backoffs[run]) {
		ntc.backoffs[run] = until
	}
}

// Bar returns whether anything keeps this host from sending to a run.
func (ntc *Notices) Bar(now time.Time, run EngineID) Bar {
	if _, drains := ntc.draining[run]; drains {
		return BarDraining
	}
	if now.Before(ntc.backoffs[run]) {
		return BarBackoff
	}
	return BarNone
}
