package upstreamtest

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
)

// EventIDs is how an engine numbers the events of its streams. The first event has the number 1, whatever its id.
type EventIDs string

// The ways to number events.
const (
	// FromOne numbers events 1, 2, 3; it is the default.
	FromOne EventIDs = ""
	// FromZero numbers events 0, 1, 2, FromMinusTwo -2, -1, 0, and FromMinusTwenty -20, -19, -18.
	FromZero        EventIDs = "FromZero"
	FromMinusTwo    EventIDs = "FromMinusTwo"
	FromMinusTwenty EventIDs = "FromMinusTwenty"
	// Thousands numbers events 0, 1000, 2000.
	Thousands EventIDs = "Thousands"
	// Padded numbers events 001, 002, 003.
	Padded EventIDs = "Padded"
	// BelowLimit ends at the largest number of 64 bits with a sign, BeyondLimit begins with the next one.
	BelowLimit  EventIDs = "BelowLimit"
	BeyondLimit EventIDs = "BeyondLimit"
	// EveryOther numbers the second event 2, the fourth 4, and none between.
	EveryOther EventIDs = "EveryOther"
	// FromFourth numbers no event before the fourth.
	FromFourth EventIDs = "FromFourth"
	// NoIDs numbers no event.
	NoIDs EventIDs = "NoIDs"
	// NoColon and EmptyIDs send the field without a value.
	NoColon  EventIDs = "NoColon"
	EmptyIDs EventIDs = "EmptyIDs"
	// Texts numbers events ev-001, ev-002, ev-003.
	Texts EventIDs = "Texts"
)

// AllEventIDs returns all ways to number events.
func AllEventIDs() []EventIDs {
	return []EventIDs{
		FromOne, FromZero, FromMinusTwo, FromMinusTwenty, Thousands, Padded, BelowLimit, BeyondLimit,
		EveryOther, FromFourth, NoIDs, NoColon, EmptyIDs, Texts,
	}
}

// largeNumber is the first id of BeyondLimit: the largest number of 64 bits with a sign, and 1.
const largeNumber = uint64(1) << 63

// ID returns the id of an event; empty if it has none.
func (ids EventIDs) ID(number int) string {
	switch ids {
	case FromZero:
		return strconv.Itoa(number - 1)
	case FromMinusTwo:
		return strconv.Itoa(number - 3)
	case FromMinusTwenty:
		return strconv.Itoa(number - 21)
	case Thousands:
		return strconv.Itoa(1000 * (number - 1))
	case Padded:
		return fmt.Sprintf("%03d", number)
	case BelowLimit:
		return strconv.FormatUint(largeNumber-1000+uint64(number), 10)
	case BeyondLimit:
		return strconv.FormatUint(largeNumber+uint64(number)-1, 10)
	case EveryOther:
		return idIf(number%2 == 0, number)
	case FromFourth:
		return idIf(number >= 4, number)
	case NoIDs, NoColon, EmptyIDs:
		return ""
	case Texts:
		return fmt.Sprintf("ev-%03d", number)
	default:
		return strconv.Itoa(number)
	}
}

func idIf(given bool, number int) string {
	if !given {
		return ""
	}
	return strconv.Itoa(number)
}

// EventText returns the event with the number, as it is sent.
func (ids EventIDs) EventText(id string, number int) string {
	line := "id: " + ids.ID(number) + "\n"
	switch {
	case ids == NoColon:
		line = "id\n"
	case ids.ID(number) == "" && ids != EmptyIDs:
		line = ""
	}
	return fmt.Sprintf("%sdata: %s/%d\n\n", line, id, number)
}

// StreamBody returns the events up to the number.
func (ids EventIDs) StreamBody(id string, events int) string {
	var text strings.Builder
	for num := 1; num <= events; num++ {
		text.WriteString(ids.EventText(id, num))
	}
	return text.String()
}

// NumberOf returns the number of the event with the id; 0 if none up to the limit has it.
func (ids EventIDs) NumberOf(id string, limit int) int {
	for num := 1; id != "" && num <= limit; num++ {
		if ids.ID(num) == id {
			return num
		}
	}
	return 0
}

// BreakOff is where a stream breaks off. It is used once: given to several engines, it is for the stream that begins first.
type BreakOff struct {
	// After is the number of events before that.
	After int
	// Within makes the stream break off within the next event.
	Within bool
	used   atomic.Bool
}

// BreakStream makes the engine break off a stream.
func (eng *Engine) BreakStream(brk *BreakOff) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.breakOff = brk
}

// plannedBreak returns where the stream that begins now breaks off; nil if it doesn't.
func (eng *Engine) plannedBreak() *BreakOff {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if eng.breakOff == nil || eng.breakOff.used.Swap(true) {
		return nil
	}
	return eng.breakOff
}
