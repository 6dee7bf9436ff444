package soak

import (
	"time"

	"lynxwell.dev/lynxwell/upstreamtest"
)

// maxMemory is the memory of the users' hosts, in bytes; a host that has more is killed.
const maxMemory = 284 << 20

// sendEndless makes an engine send bytes without an end, once or twice, in one of three calls.
func (sys *system) sendEndless() {
	if sys.endlessRandom.IntN(3) != 0 {
		return
	}
	eng := sys.engines[sys.endlessRandom.IntN(len(sys.engines))]
	if eng.hasCrashed() {
		return
	}
	sys.t.Log(time.Now().Format("05.000"), eng.id, "sends bytes without an end")
	sys.control(eng, upstreamtest.PathFault, upstreamtest.FaultRequest{Fault: upstreamtest.Endless, Times: 1 + sys.endlessRandom.IntN(2)})
}

// checkMemory checks that no running host has had more than its memory.
func (sys *system) checkMemory() {
	sys.t.Helper()
	for _, hos := range sys.hosts {
		if peak := hos.PeakMemory(); peak > maxMemory {
			sys.t.Errorf("host %s has had %d MB of memory, more than %d", hos.set.Name, peak>>20, maxMemory>>20)
		}
	}
}
