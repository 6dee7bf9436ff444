package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Guards against streams of two versions with revocation that isn't strict: most hosts are cut off from the store and the last one, together with the engines of v1, whose entries end; revocation
// isn't strict.
func TestMostHostsCutOffBeginNoStreamOfOtherVersion(t *testing.T) {
	t.Parallel()
	var engines []*upstreamtest.Engine
	for num := range 4 {
		engines = append(engines, engineOfVersion(fmt.Sprintf("e%d", num), "v1"))
	}
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: engines, Bounds: settings.Bounds{RevocationIsStrict: settings.ToggleOff}})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitForEngines(len(engines))
	vsy := &versionedSystem{System: sys, t: t, engines: engines}
	waitForRecord(sys, "v1")
	vsy.WaitUntil("one host schedules for all", func() bool {
		for _, hos := range vsy.Hosts {
			if hos.Dump().Limits.Lenders == len(vsy.Hosts)-1 {
				return true
			}
		}
		return false
	})
	vsy.Hosts[0].SetStoreCut(true)
	vsy.Hosts[1].SetStoreCut(true)
	vsy.Hosts[2].SetPeersCut(outOfStep["connections reset"])
	vsy.removeVersion("v1")
	vsy.join()
	alone := vsy.holdsWithin(80*time.Second, func() bool {
		rec := vsy.record()
		return len(rec.Versions[entrytest.Model]) == 1 && rec.Has(entrytest.Model, "v1.1") && len(rec.Announced) == 0
	})
	t.Logf("v1.1 alone: %v, %+v", alone, vsy.record())
	begun := vsy.beginWithin(vsy.Hosts[:2], 4*time.Second)
	t.Logf("at the hosts that are cut off %d began, at v1 %d", begun, vsy.begunAt("v1"))
	resumed, mixed := vsy.resumeWithin(vsy.Hosts[2:], 4*time.Second)
	t.Logf("at the other host resumed %d, mixed %d", resumed, mixed)
	assert.Equal(t, mixed, 0)
}

// Guards against the same at the only host that is listed is cut off together with the engines of v1; another one starts.
func TestOnlyHostCutOffBeginsNoStreamOfOtherVersion(t *testing.T) {
	t.Parallel()
	var engines []*upstreamtest.Engine
	for num := range 4 {
		engines = append(engines, engineOfVersion(fmt.Sprintf("e%d", num), "v1"))
	}
	cfg := entrytest.Config{Hosts: 1, Engines: engines, Bounds: settings.Bounds{RevocationIsStrict: settings.ToggleOff}}
	sys := entrytest.Start(t, cfg)
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitForEngines(len(engines))
	vsy := &versionedSystem{System: sys, t: t, engines: engines}
	waitForRecord(sys, "v1")
	alone := vsy.Hosts[0]
	alone.SetCutOff(outOfStep["connections reset"])
	vsy.removeVersion("v1")
	second := sys.AddHost(cfg)
	vsy.join()
	reduced := vsy.holdsWithin(80*time.Second, func() bool {
		rec := vsy.record()
		return len(rec.Versions[entrytest.Model]) == 1 && rec.Has(entrytest.Model, "v1.1") && len(rec.Announced) == 0
	})
	t.Logf("v1.1 alone: %v, %+v", reduced, vsy.record())
	begun := vsy.beginWithin([]*entrytest.Host{alone}, 4*time.Second)
	t.Logf("at the host that is cut off %d began, at v1 %d", begun, vsy.begunAt("v1"))
	resumed, mixed := vsy.resumeWithin([]*entrytest.Host{second}, 4*time.Second)
	t.Logf("at the other host resumed %d, mixed %d", resumed, mixed)
	assert.Equal(t, mixed, 0)
}
