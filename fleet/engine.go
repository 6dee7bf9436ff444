package fleet

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// EngineID names one run of an engine or a backend server. An engine may start again
// under its name: the new run holds and knows nothing of what the former one did. Values
// are comparable; make them with NewEngineID.
type EngineID struct {
	Name string
	// Born is when the run started, by the engine's own clock in milliseconds; zero where
	// it doesn't tell.
	Born time.Time
}

// NewEngineID returns the id of the run of the named engine that started at a time; zero
// for one that isn't known. Two ids of the same run are equal.
func NewEngineID(name string, born time.Time) EngineID {
	if born.IsZero() {
		return EngineID{Name: name}
	}
	return EngineID{Name: name, Born: time.UnixMilli(born.UnixMilli()).UTC()}
}

// bornSeparator stands between a name and the milliseconds of the start.
const bornSeparator = "@"

// String returns the name, followed by the start where it is known: what hosts tell one
// another, and what lines of the log hold.
func (eid EngineID) String() string {
	if eid.Born.IsZero() && !strings.Contains(eid.Name, bornSeparator) {
		return eid.Name
	}
	born := int64(0)
	if !eid.Born.IsZero() {
		born = eid.Born.UnixMilli()
	}
	return eid.Name + bornSeparator + strconv.FormatInt(born, 10)
}

// MarshalText writes the id as String does.
func (eid EngineID) MarshalText() ([]byte, error) {
	return []byte(eid.String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (eid *EngineID) UnmarshalText(text []byte) error {
	*eid = ParseEngineID(string(text))
	return nil
}

// ParseEngineID reads what String wrote. Any text names some engine.
func ParseEngineID(text string) EngineID {
	place := strings.LastIndex(text, bornSeparator)
	if place < 0 {
		return EngineID{Name: text}
	}
	millis, err := strconv.ParseInt(text[place+len(bornSeparator):], 10, 64)
	if err != nil {
		return EngineID{Name: text}
	}
	if millis == 0 {
		return EngineID{Name: text[:place]}
	}
	return NewEngineID(text[:place], time.UnixMilli(millis))
}

// Follows reports whether this is a later run of the same engine than the other one.
func (eid EngineID) Follows(other EngineID) bool {
	return eid.Name == other.Name && eid.Born.After(other.Born)
}

// Engine is an engine, or a backend server of a plain service.
type Engine struct {
	ID      EngineID
	Service string
	Address netip.AddrPort
	// Domain is its failure domain.
	Domain string
	// Version is that of its software.
	Version string
	// Slots is how many requests it works on at a time.
	Slots int
	// Draining engines get no new work.
	Draining bool
	// Emptied says that operators have the engine's failure domain emptied: it gets no new
	// work either, until they take that back.
	Emptied bool
	// ColdFor is for how much longer the engine was cold when it wrote its entry. While it is,
	// it takes few requests a second, and falls over under many more.
	ColdFor time.Duration
	// ColdUntil is until when it is taken to be cold, by this host's clock.
	ColdUntil time.Time
	// Sequence counts what this run of the engine has told of itself.
	Sequence uint64
}

// Closed reports whether the engine gets no new work, by its own wish or by operators'.
func (eng Engine) Closed() bool {
	return eng.Draining || eng.Emptied
}

// Supersedes reports whether what this entry tells is newer than another one of the same
// engine: entries may arrive late, after those that were written behind them. A start
// that isn't known any more, where it was, doesn't come from the engine.
func (eng Engine) Supersedes(former Engine) bool {
	if eng.ID.Born.Equal(former.ID.Born) {
		return eng.Sequence >= former.Sequence
	}
	return eng.ID.Follows(former.ID)
}
