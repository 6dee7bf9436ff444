package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

const (
	// joiningTime is how long streams begin while a version joins: longer than the time after which a new version may
	// begin streams although one host can't confirm that it knows it.
	joiningTime = 6 * time.Second
	// joinedStreams is the least number of streams that the version has to begin in that time.
	joinedStreams = 10
)

// handoverCounts counts the streams of handOver.
type handoverCounts struct {
	mutex sync.Mutex
	// begun are the streams that began, by the version of their first event; resumed are those that went on, refused
	// those that didn't, and mixed those that went on at another version.
	begun   map[string]int
	resumed int
	refused int
	mixed   int
}

// engineOfVersion returns an engine of a software version.
func engineOfVersion(id, version string) *upstreamtest.Engine {
	return upstreamtest.NewEngine(upstreamtest.Config{
		ID: id, Service: entrytest.Model, Slots: 4, Events: resumedEvents, Step: 5 * time.Millisecond, Version: version,
	})
}

// startWithOneVersion starts hosts and four engines of v1, and waits until all hosts have the store's record of it.
func startWithOneVersion(t *testing.T, hosts int) *versionedSystem {
	t.Helper()
	var engines []*upstreamtest.Engine
	for num := range 4 {
		engines = append(engines, engineOfVersion(fmt.Sprintf("e%d", num), "v1"))
	}
	sys := entrytest.Start(t, entrytest.Config{Hosts: hosts, Engines: engines})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitForEngines(len(engines))
	vsy := &versionedSystem{System: sys, t: t, engines: engines}
	waitForRecord(sys, "v1")
	return vsy
}

// waitForRecord waits until all hosts have a record that names the versions.
func waitForRecord(sys *entrytest.System, versions ...string) {
	sys.WaitUntil("record known", func() bool {
		for _, hos := range sys.Hosts {
			rec := hos.Dump().Versions
			for _, version := range versions {
				if !rec.Has(entrytest.Model, version) {
					return false
				}
			}
		}
		return true
	})
}

// join starts four engines of the next version.
func (vsy *versionedSystem) join() {
	var joining []*upstreamtest.Engine
	for num := range 4 {
		joining = append(joining, engineOfVersion(fmt.Sprintf("n%d", num), "v1.1"))
	}
	vsy.engines = append(vsy.engines, joining...)
	vsy.AddEngines(joining...)
}

// handOver begins streams at the hosts for a time, and resumes each at the other host as soon as its client has lost it.
func (vsy *versionedSystem) handOver(from []*entrytest.Host, to *entrytest.Host, during time.Duration) *handoverCounts {
	counts := &handoverCounts{begun: make(map[string]int)}
	end := time.Now().Add(during)
	concurrently(streamsAtOnce, func(client int) {
		for num := 0; time.Now().Before(end); num++ {
			vsy.handOverOne(counts, from[num%len(from)], to, fmt.Sprintf("%d-%d", client, num))
		}
	})
	return counts
}

func (vsy *versionedSystem) handOverOne(counts *handoverCounts, from, to *entrytest.Host, name string) {
	begin, again := "handed-"+name, "taken-"+name
	ans := vsy.SendUntilEvent(vsy.t.Context(), from, streamRequest(begin, "", 0), cutAfterEvent)
	if ans.Status != http.StatusOK {
		return
	}
	next := vsy.Send(vsy.t.Context(), to, streamRequest(again, begin, cutAfterEvent))
	began := vsy.versionsOf(begin)
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	for version := range began {
		counts.begun[version]++
	}
	if next.Err != nil || next.Status != http.StatusOK {
		counts.refused++
		return
	}
	counts.resumed++
	if len(vsy.versionsOf(begin, again)) > 1 {
		counts.mixed++
	}
}

// outOfStep are the ways in which a host is cut off from the store and all other hosts.
var outOfStep = map[string]upstreamtest.PathState{
	"connections reset":  {Refused: true, OpenReset: true},
	"connections silent": {Silent: true, OpenSilent: true},
}

// Guards against streams with events of two software versions: engines of a new version joined while a host was cut
// off, and it resumed streams that they had begun at the only version that its old copy of the store named.
func TestHostOutOfStepResumesNoStreamOfNewVersion(t *testing.T) {
	for _, coordinator := range []bool{false, true} {
		for name, cut := range outOfStep {
			t.Run(fmt.Sprintf("%s, coordinator %v", name, coordinator), func(t *testing.T) {
				t.Parallel()
				vsy := startWithOneVersion(t, 4)
				alone, others := vsy.Hosts[3], vsy.Hosts[:3]
				if coordinator {
					alone, others = vsy.Hosts[0], vsy.Hosts[1:]
				}
				alone.SetCutOff(cut)
				vsy.join()
				counts := vsy.handOver(others, alone, joiningTime)
				t.Logf("begun %v, resumed %d, refused %d, mixed %d", counts.begun, counts.resumed, counts.refused, counts.mixed)
				assert.Equal(t, counts.mixed, 0)
				assert.Assert(t, counts.begun["v1.1"] >= joinedStreams, "the new version begins streams while a host is cut off")
			})
		}
	}
}

// Guards against a refusal of all resumptions at a host that is cut off: while one version alone serves, they go on.
func TestHostOutOfStepResumesStreamsOfSoleVersion(t *testing.T) {
	for name, cut := range outOfStep {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vsy := startWithOneVersion(t, 4)
			vsy.Hosts[3].SetCutOff(cut)
			counts := vsy.handOver(vsy.Hosts[:3], vsy.Hosts[3], 3*time.Second)
			assert.Equal(t, counts.mixed, 0)
			assert.Equal(t, counts.refused, 0, "%d went on", counts.resumed)
			assert.Assert(t, counts.resumed >= joinedStreams)
		})
	}
}

// Guards against a roll-out whose new engines stand idle: once all hosts have reported that they know of a version, streams
// begin at it at once.
func TestVersionOpensOnceAllHostsKnowOfIt(t *testing.T) {
	vsy := startWithOneVersion(t, 4)
	started := time.Now()
	vsy.WaitUntil("every registration seen", func() bool { return time.Since(started) > affinity.OpenAfter })
	vsy.join()
	joined := time.Now()
	vsy.WaitUntil("streams begin at the new version", func() bool {
		// One stream at a time would go to the engine that knows the prompt.
		names := make([]string, streamsAtOnce)
		concurrently(len(names), func(num int) {
			names[num] = fmt.Sprint("probe-", num, time.Since(joined))
			vsy.SendUntilEvent(t.Context(), vsy.Hosts[1], streamRequest(names[num], "", 0), 1)
		})
		return vsy.versionsOf(names...)["v1.1"]
	})
	t.Logf("streams began after %s", time.Since(joined))
	assert.Assert(t, time.Since(joined) < affinity.OpenAfter/2)
}
