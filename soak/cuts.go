package soak

import (
	"time"

	"lynxwell.dev/lynxwell/processtest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// pathStates are the states of a host's path to all engines; the first is an open path.
var pathStates = []upstreamtest.PathState{
	{},
	{Refused: true, OpenReset: true},
	{Silent: true, OpenSilent: true},
	{Refused: true},
	{Silent: true, OpenReset: true},
}

// changePath cuts a random host off from all engines, or restores its path, in one of three calls. The cuts
// of several hosts may overlap.
func (sys *system) changePath() {
	if sys.pathRandom.IntN(3) != 0 {
		return
	}
	hos := sys.hosts[sys.pathRandom.IntN(len(sys.hosts))]
	sta := pathStates[sys.pathRandom.IntN(len(pathStates))]
	sys.t.Logf("%s path of %s to engines: %+v", time.Now().Format("05.000"), hos.set.Name, sta)
	processtest.SetEnginePath(sys.t, hos.file, sta)
}

// restorePaths ends the cuts of all hosts.
func (sys *system) restorePaths() {
	for _, hos := range sys.hosts {
		processtest.SetEnginePath(sys.t, hos.file, upstreamtest.PathState{})
	}
}
