package soak

import (
	"encoding/json"
	"net/http"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

const (
	// emptiedDomain is the failure domain that operators have emptied, usedDomain the other one.
	emptiedDomain = "d1"
	usedDomain    = "d0"
	// toldInterval is how often what operators read is looked at.
	toldInterval = 50 * time.Millisecond
	// coldFor is for how long engines are cold, coldRate what they bear, in requests a second.
	coldFor  = 2 * time.Second
	coldRate = 6
)

// emptying is a time in which operators had read that a failure domain is closed.
type emptying struct {
	told, end time.Time
}

// placesChange orders a failure domain to be emptied, or takes that back: its engines come back cold.
func (sys *system) placesChange() {
	switch {
	case sys.ordered.IsZero():
		sys.t.Log(time.Now().Format("05.000"), "a failure domain is emptied")
		sys.ordered = time.Now()
		sys.put(store.Write{Key: entrytest.EvacuationKey(emptiedDomain), Data: []byte("{}"), Blind: true})
	case sys.places.IntN(3) == 0:
		sys.takeBack()
	}
}

// noteTold notes when operators read first that the domain is closed, by the order that is given.
func (sys *system) noteTold() {
	if sys.ordered.IsZero() || sys.toldOpen {
		return
	}
	var sta entrytest.EvacuationState
	if data := sys.peek(entrytest.EvacuationStateKey(emptiedDomain)).Data; len(data) > 0 {
		assert.NilError(sys.t, json.Unmarshal(data, &sta))
	}
	order := sys.peek(entrytest.EvacuationKey(emptiedDomain))
	if sta.State == "" || sta.Revision != uint64(order.Revision) {
		return
	}
	sys.toldOpen = true
	sys.emptied = append(sys.emptied, emptying{told: time.Now()})
}

// takeBack has the domain used again.
func (sys *system) takeBack() {
	if sys.ordered.IsZero() {
		return
	}
	sys.t.Log(time.Now().Format("05.000"), "it comes back cold")
	if sys.toldOpen {
		sys.emptied[len(sys.emptied)-1].end = time.Now()
	}
	sys.ordered, sys.toldOpen = time.Time{}, false
	for _, eng := range sys.engines {
		if eng.domain == emptiedDomain && eng.leftAt.IsZero() && !eng.hasEnded() {
			sys.chill(eng)
		}
	}
	sys.put(store.Write{Key: entrytest.EvacuationKey(emptiedDomain), Delete: true, Blind: true})
}

// chill has an engine be cold, and say so in its entry.
func (sys *system) chill(eng *engine) {
	sys.tell(eng, upstreamtest.PathCold, upstreamtest.Cold{PerSecond: coldRate, For: coldFor})
	sys.enterCold(eng, false, coldFor)
}

// peek returns what the store holds, as operators read it.
func (sys *system) peek(key string) store.Value {
	sys.t.Helper()
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodGet, "http://"+sys.store.String()+platformtest.PathValue+"?key="+key, http.NoBody)
	assert.NilError(sys.t, err)
	rep, err := http.DefaultClient.Do(req)
	assert.NilError(sys.t, err)
	defer rep.Body.Close()
	var val store.Value
	assert.NilError(sys.t, json.NewDecoder(rep.Body).Decode(&val))
	return val
}

// checkPlaces holds what reached engines against what operators had read, and against what cold
// engines bear.
func (sys *system) checkPlaces() {
	sys.t.Helper()
	sys.t.Logf("operators read %d times that the domain is closed", len(sys.emptied))
	for _, eng := range sys.engines {
		if eng.hasEnded() {
			continue
		}
		arrivals := read[upstreamtest.Arrival](sys, eng, upstreamtest.PathArrivals)
		for _, arr := range arrivals {
			if arr.Fell {
				sys.t.Errorf("%s fell over: cold, it got more than it bears", eng.id)
			}
			if eng.domain != emptiedDomain {
				continue
			}
			for _, emp := range sys.emptied {
				if arr.At.After(emp.told) && (emp.end.IsZero() || arr.At.Before(emp.end)) {
					sys.t.Errorf("%s of %s got %s %s after operators had read that it is closed", eng.id, eng.domain, arr.ID, arr.At.Sub(emp.told))
				}
			}
		}
	}
}
