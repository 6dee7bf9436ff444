package turn

import "time"

const (
	// calendarSlot is the resolution of a calendar, calendarSlots the number of slots: clients return
	// within two seconds or are told to come back much later.
	calendarSlot  = 50 * time.Millisecond
	calendarSlots = 40
	// bookedShare is the part of the served work that may be booked for clients who return. The rest is
	// for those who arrive new.
	bookedShare = 0.5
)

// Calendar gives refused clients times to return at, so that no more return at once than can be served.
type Calendar struct {
	slots [calendarSlots]calendarEntry
}

// calendarEntry is the work that is booked for one slot of time, in seconds.
type calendarEntry struct {
	number int64
	booked float64
}

// Book books a request's work at the earliest time from a moment on, for a queue that serves rate seconds
// of work a second. It returns false if there is none before the latest time.
func (cal *Calendar) Book(from, latest time.Time, work time.Duration, rate float64) (time.Time, bool) {
	limit := max(bookedShare*rate*calendarSlot.Seconds(), work.Seconds())
	first := from.UnixNano() / int64(calendarSlot)
	for number := first; number < first+calendarSlots; number++ {
		start := time.Unix(0, number*int64(calendarSlot))
		if start.After(latest) {
			break
		}
		slo := &cal.slots[number%calendarSlots]
		if slo.number != number {
			*slo = calendarEntry{number: number}
		}
		if slo.booked+work.Seconds() > limit {
			continue
		}
		// Within a slot, clients return one after the other.
		at := start.Add(time.Duration(slo.booked / limit * float64(calendarSlot)))
		slo.booked += work.Seconds()
		if at.Before(from) {
			at = from
		}
		return at, true
	}
	return time.Time{}, false
}
