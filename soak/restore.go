package soak

import (
	"time"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/store"
)

// maxRewriteDelay bounds the time after which the operator writes the configuration again.
const maxRewriteDelay = time.Second

// changeStoreContent keeps a copy of the store or, once one is kept, restores the store from it, in one of three
// calls. What the engines and the operator wrote since is written again; the configuration only later.
func (sys *system) changeStoreContent() {
	if sys.restoreRandom.IntN(3) != 0 {
		return
	}
	if !sys.copyKept {
		sys.copyKept = true
		sys.post(sys.storeAddress, platformtest.PathCopy, struct{}{})
		return
	}
	delay := time.Duration(sys.restoreRandom.Int64N(int64(maxRewriteDelay)))
	sys.t.Log(time.Now().Format("05.000"), "restore the store from a copy; the configuration follows after", delay)
	sys.post(sys.storeAddress, platformtest.PathFaults, platformtest.Faults{Down: true})
	sys.post(sys.storeAddress, platformtest.PathRestore, struct{}{})
	for _, eng := range sys.engines {
		sys.writeAgain(eng)
	}
	evacuation := store.Write{Key: entrytest.EvacuationKey(evacuatedDomain), Data: []byte("{}"), Blind: true}
	evacuation.Delete = sys.orderedAt.IsZero()
	sys.put(evacuation)
	sys.post(sys.storeAddress, platformtest.PathFaults, platformtest.Faults{})
	sys.wait(delay)
	sys.version++
	sys.writeConfiguration()
}

// writeAgain writes an engine's entry as the engine would, or removes it.
func (sys *system) writeAgain(eng *engine) {
	if eng.deleted || eng.hasCrashed() {
		sys.put(store.Write{Key: entrytest.EngineKey(eng.id), Delete: true, Blind: true})
		return
	}
	sys.registerCold(eng, !eng.retiredAt.IsZero(), max(0, time.Until(eng.coldUntil)))
}
