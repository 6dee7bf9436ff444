package fleet

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// EngineID identifies one run of an engine or backend server. An engine may restart under
// the same name; the new run has no state of the previous one. Values that NewEngineID returns can
// be compared with ==.
type EngineID struct {
	Name string
	// StartTime is the start time of the run by the engine's own clock, in whole milliseconds;
	// zero if the engine doesn't report it.
	StartTime time.Time
}

// NewEngineID returns the id of the named engine's run with the given start time, which is
// zero if unknown. Two ids of the same run are equal.
func NewEngineID(name string, startTime time.Time) EngineID {
	if startTime.IsZero() {
		return EngineID{Name: name}
	}
	return EngineID{Name: name, StartTime: time.UnixMilli(startTime.UnixMilli()).UTC()}
}

// startSeparator separates the name from the start time in milliseconds.
const startSeparator = "@"

// String returns the name, followed by the start time if it is known. Messages between hosts
// and log lines use this form.
func (eid EngineID) String() string {
	if eid.StartTime.IsZero() && !strings.Contains(eid.Name, startSeparator) {
		return eid.Name
	}
	millis := int64(0)
	if !eid.StartTime.IsZero() {
		millis = eid.StartTime.UnixMilli()
	}
	return eid.Name + startSeparator + strconv.FormatInt(millis, 10)
}

// MarshalText encodes the id in the form of String.
func (eid EngineID) MarshalText() ([]byte, error) {
	return []byte(eid.String()), nil
}

// UnmarshalText decodes the form of MarshalText. It never fails.
func (eid *EngineID) UnmarshalText(text []byte) error {
	*eid = ParseEngineID(string(text))
	return nil
}

// ParseEngineID parses the form of String. Every text is a valid id: one without a valid start
// time is a name.
func ParseEngineID(text string) EngineID {
	index := strings.LastIndex(text, startSeparator)
	if index < 0 {
		return EngineID{Name: text}
	}
	millis, err := strconv.ParseInt(text[index+len(startSeparator):], 10, 64)
	if err != nil {
		return EngineID{Name: text}
	}
	if millis == 0 {
		return EngineID{Name: text[:index]}
	}
	return NewEngineID(text[:index], time.UnixMilli(millis))
}

// Follows reports whether this is a later run of the same engine than other.
func (eid EngineID) Follows(other EngineID) bool {
	return eid.Name == other.Name && eid.StartTime.After(other.StartTime)
}

// Engine is the entry of an engine, or of a backend server of a service without a model.
type Engine struct {
	ID      EngineID
	Service string
	Address netip.AddrPort
	// Domain is the engine's failure domain.
	Domain string
	// Version is the engine's software version.
	Version string
	// Slots is the number of requests that the engine runs concurrently.
	Slots int
	// Draining is set if the engine accepts no new requests.
	Draining bool
	// Emptied is set while an order to evacuate the engine's failure domain is in force; the
	// engine gets no new requests until operators withdraw the order.
	Emptied bool
	// ColdFor is how much longer the engine expected to be cold when it wrote its entry. A cold
	// engine serves only a few requests per second, and crashes under many more.
	ColdFor time.Duration
	// ColdUntil is the time until which the engine counts as cold, by this host's clock.
	ColdUntil time.Time
	// Sequence numbers the entries that this run of the engine has written.
	Sequence uint64
}

// Closed reports whether the engine gets no new requests because it drains or is evacuated.
func (eng Engine) Closed() bool {
	return eng.Draining || eng.Emptied
}

// Supersedes reports whether this entry is at least as new as prev, another entry of the same
// engine: entries may arrive out of order. An entry without a start time never supersedes one
// that has it, since the engine didn't write it.
func (eng Engine) Supersedes(prev Engine) bool {
	if eng.ID.StartTime.Equal(prev.ID.StartTime) {
		return eng.Sequence >= prev.Sequence
	}
	return eng.ID.Follows(prev.ID)
}
