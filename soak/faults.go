package soak

import (
	"fmt"
	"time"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// spareKey is a client key that some configurations list in addition to entrytest.Key.
const spareKey = "key-of-nurses"

// injectFault injects one random fault. Earlier faults may still be in effect.
func (sys *system) injectFault() {
	faults := []struct {
		name   string
		inject func()
	}{
		{"kill a host", sys.killHost},
		{"stop a host", sys.stopHost},
		{"freeze a host", sys.freezeHost},
		{"send SIGHUP to a host", func() { sys.randomHost().Hangup() }},
		{"cut a host from the store", func() { sys.randomHost().storeLink.Cut() }},
		{"silence a host's link to the store", func() { sys.randomHost().storeLink.Silence(sys.random.IntN(2) == 0, true) }},
		{"delay a host's link to the store", func() { sys.randomHost().storeLink.Delay(200 * time.Millisecond) }},
		{"reset a host's link to the store", func() { sys.randomHost().storeLink.Reset() }},
		{"restore the links to the store", sys.restoreLinks},
		{"change the store's faults", sys.injectStoreFault},
		{"compact the store", func() { sys.post(sys.storeAddress, platformtest.PathCompact, struct{}{}) }},
		{"inject a fault into an engine", sys.injectEngineFault},
		{"inject a fault into an engine", sys.injectEngineFault},
		{"retire an engine", sys.retireEngine},
		{"put a new configuration", sys.configure},
		{"add or revoke the spare key", sys.toggleSpareKey},
	}
	flt := faults[sys.random.IntN(len(faults))]
	sys.t.Log(time.Now().Format("05.000"), flt.name)
	flt.inject()
}

func (sys *system) randomHost() *host {
	return sys.hosts[sys.random.IntN(len(sys.hosts))]
}

func (sys *system) killHost() {
	hos := sys.randomHost()
	hos.recordDisturbance()
	hos.Kill()
	hos.Wait()
	sys.startHost(hos)
}

func (sys *system) stopHost() {
	hos := sys.randomHost()
	if hos.down {
		return
	}
	hos.down = true
	hos.recordDisturbance()
	hos.Terminate()
}

func (sys *system) freezeHost() {
	hos := sys.randomHost()
	hos.recordDisturbance()
	hos.Freeze()
	sys.wait(time.Duration(sys.random.IntN(1500)) * time.Millisecond)
	hos.Resume()
	hos.recordDisturbance()
}

// recordDisturbance records that the host is being killed, stopped, started, frozen or resumed.
func (hos *host) recordDisturbance() {
	hos.disturbances = append(hos.disturbances, time.Now())
}

func (sys *system) restoreLinks() {
	for _, hos := range sys.hosts {
		hos.storeLink.Restore()
	}
}

func (sys *system) injectStoreFault() {
	faults := []platformtest.Faults{
		{},
		{Down: true},
		{Silent: true},
		{Delay: 250 * time.Millisecond},
		{LoseReplies: 3},
		{CallsPerSecond: 3},
	}
	sys.post(sys.storeAddress, platformtest.PathFaults, faults[sys.random.IntN(len(faults))])
}

func (sys *system) injectEngineFault() {
	eng := sys.engines[sys.random.IntN(len(sys.engines))]
	if eng.hasCrashed() {
		return
	}
	flt := upstreamtest.Fault(1 + sys.random.IntN(int(upstreamtest.Early)-1))
	if sys.answerRandom.IntN(4) == 0 {
		// They are drawn apart, so that a seed's other faults stay the same.
		flt = upstreamtest.EarlyPart + upstreamtest.Fault(sys.answerRandom.IntN(3))
	}
	req := upstreamtest.FaultRequest{Fault: flt, Times: 1 + sys.random.IntN(4)}
	sys.t.Log(eng.id, "gets a fault", req)
	sys.control(eng, upstreamtest.PathFault, req)
}

// retireEngine registers a random engine as draining, or deletes its entry without draining, and
// starts a replacement.
func (sys *system) retireEngine() {
	eng := sys.engines[sys.random.IntN(len(sys.engines))]
	if !eng.retiredAt.IsZero() || eng.hasCrashed() {
		return
	}
	if sys.random.IntN(2) == 0 {
		sys.register(eng, true)
	} else {
		sys.put(store.Write{Key: entrytest.EngineKey(eng.id), Delete: true, Blind: true})
		eng.deleted = true
	}
	eng.retiredAt = time.Now()
	sys.addEngine(fmt.Sprintf("%s-%d", eng.id, len(sys.engines)), eng.service)
}

// toggleSpareKey adds the spare key to the configuration, or revokes it.
func (sys *system) toggleSpareKey() {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	if len(sys.keys) == 1 {
		sys.keys = []string{entrytest.Key, spareKey}
		delete(sys.revokedAt, spareKey)
		sys.configure()
		return
	}
	sys.keys = sys.keys[:1]
	sys.configure()
	sys.revokedAt[spareKey] = time.Now()
}

// clearFaults clears all faults and restarts the hosts that were stopped.
func (sys *system) clearFaults() {
	sys.restoreLinks()
	sys.restorePaths()
	sys.post(sys.storeAddress, platformtest.PathFaults, platformtest.Faults{})
	for _, eng := range sys.engines {
		// An engine that received few requests may have faults left that it has not applied yet.
		if !eng.hasCrashed() {
			sys.control(eng, upstreamtest.PathFault, upstreamtest.FaultRequest{Clear: true})
		}
	}
	sys.checkRunning()
	for _, hos := range sys.hosts {
		hos.Resume()
		if hos.down {
			hos.Wait()
			sys.startHost(hos)
		}
	}
	for _, hos := range sys.hosts {
		sys.waitUntil(hos.set.Name+" ready", func() bool { return sys.ready(hos) })
	}
}
