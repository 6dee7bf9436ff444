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
	// evacuatedDomain is the failure domain that operators evacuate; openDomain is the other one.
	evacuatedDomain = "d1"
	openDomain      = "d0"
	// statePollInterval is the interval at which the published evacuation state is read.
	statePollInterval = 50 * time.Millisecond
	// coldFor is the warm-up time of an engine; coldRate is the rate, in requests per second,
	// that a cold engine survives.
	coldFor  = 2 * time.Second
	coldRate = 6
)

// closedPeriod is a period in which the failure domain was published to operators as closed. A
// zero end means that the period has not ended.
type closedPeriod struct {
	start, end time.Time
}

// changeEvacuation orders the evacuation of evacuatedDomain if no order is in force, and otherwise
// withdraws the order with a probability of one third. The engines of a reopened domain are cold.
func (sys *system) changeEvacuation() {
	switch {
	case sys.orderedAt.IsZero():
		sys.t.Log(time.Now().Format("05.000"), "evacuate a failure domain")
		sys.orderedAt = time.Now()
		sys.put(store.Write{Key: entrytest.EvacuationKey(evacuatedDomain), Data: []byte("{}"), Blind: true})
	case sys.evacuationRandom.IntN(3) == 0:
		sys.withdrawEvacuation()
	}
}

// recordClosed starts a closed period when the published state first names the revision of the
// current order.
func (sys *system) recordClosed() {
	if sys.orderedAt.IsZero() || sys.inClosedPeriod {
		return
	}
	var sta entrytest.EvacuationState
	if data := sys.readStore(entrytest.EvacuationStateKey(evacuatedDomain)).Data; len(data) > 0 {
		assert.NilError(sys.t, json.Unmarshal(data, &sta))
	}
	order := sys.readStore(entrytest.EvacuationKey(evacuatedDomain))
	if sta.State == "" || sta.Revision != uint64(order.Revision) {
		return
	}
	sys.inClosedPeriod = true
	sys.closedPeriods = append(sys.closedPeriods, closedPeriod{start: time.Now()})
}

// withdrawEvacuation withdraws the order, if there is one, and marks the domain's engines cold.
func (sys *system) withdrawEvacuation() {
	if sys.orderedAt.IsZero() {
		return
	}
	sys.t.Log(time.Now().Format("05.000"), "reopen the failure domain with cold engines")
	if sys.inClosedPeriod {
		sys.closedPeriods[len(sys.closedPeriods)-1].end = time.Now()
	}
	sys.orderedAt, sys.inClosedPeriod = time.Time{}, false
	for _, eng := range sys.engines {
		if eng.domain == evacuatedDomain && eng.retiredAt.IsZero() && !eng.hasCrashed() {
			sys.markCold(eng)
		}
	}
	sys.put(store.Write{Key: entrytest.EvacuationKey(evacuatedDomain), Delete: true, Blind: true})
}

// markCold makes an engine cold for coldFor, in which it survives no more than coldRate, and
// registers it as cold.
func (sys *system) markCold(eng *engine) {
	eng.coldUntil = time.Now().Add(coldFor)
	sys.control(eng, upstreamtest.PathCold, upstreamtest.Cold{PerSecond: coldRate, For: coldFor})
	sys.registerCold(eng, false, coldFor)
}

// readStore returns the value of the key in the store, regardless of the store's faults.
func (sys *system) readStore(key string) store.Value {
	sys.t.Helper()
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodGet, "http://"+sys.storeAddress.String()+platformtest.PathValue+"?key="+key, http.NoBody)
	assert.NilError(sys.t, err)
	rep, err := http.DefaultClient.Do(req)
	assert.NilError(sys.t, err)
	defer rep.Body.Close()
	var val store.Value
	assert.NilError(sys.t, json.NewDecoder(rep.Body).Decode(&val))
	return val
}

// checkEvacuations checks that no request reached an engine of a failure domain while the domain
// was published as closed, and that no cold engine crashed under its load.
func (sys *system) checkEvacuations() {
	sys.t.Helper()
	sys.t.Logf("the domain was published as closed %d times", len(sys.closedPeriods))
	for _, eng := range sys.engines {
		if eng.hasCrashed() {
			continue
		}
		arrivals := readList[upstreamtest.Arrival](sys, eng, upstreamtest.PathArrivals)
		for _, arr := range arrivals {
			if arr.Crashed {
				sys.t.Errorf("cold engine %s crashed: it received more requests than a cold engine survives", eng.id)
			}
			if eng.domain != evacuatedDomain {
				continue
			}
			for _, per := range sys.closedPeriods {
				if arr.At.After(per.start) && (per.end.IsZero() || arr.At.Before(per.end)) {
					sys.t.Errorf("engine %s of domain %s received %s %s after the domain was published as closed", eng.id, eng.domain, arr.ID, arr.At.Sub(per.start))
				}
			}
		}
	}
}
