package affinity_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
)

// playedHost is a host of a fleetPlay. Hosts that are cut off keep their copy.
type playedHost struct {
	epoch   request.Epoch
	history *affinity.History
	readers *affinity.Readers
	// served are the versions that the host listed when it read the store last.
	served []string
	readAt time.Time
	cut    bool
	// known is the number of the host's record.
	known uint64
}

// fleetPlay plays hosts that read one store, are cut off and go on, while versions join and leave.
type fleetPlay struct {
	rt     *rapid.T
	now    time.Time
	record affinity.Record
	// damaged is set while another program's value is in the place of the record.
	damaged bool
	era     uint64
	serving []string
	hosts   []*playedHost
	// registered are the hosts with an entry in the store.
	registered map[request.Epoch]bool
	// copied is what a copy of the store has, of which it may be restored.
	copied           affinity.Record
	copiedRegistered map[request.Epoch]bool
	epochs           request.Epoch
	// began is when the last stream began at each version.
	began map[string]time.Time
	// concluded counts the resumptions that went on.
	concluded int
}

// playedStreamLife is the life of a stream in a fleetPlay.
const playedStreamLife = 30 * time.Second

func (fpl *fleetPlay) start() {
	fpl.epochs++
	hos := &playedHost{epoch: fpl.epochs, history: affinity.NewHistory(), readers: affinity.NewReaders()}
	hos.history.ObserveLife(playedStreamLife)
	fpl.hosts = append(fpl.hosts, hos)
	fpl.sync(hos)
	fpl.registered[hos.epoch] = true
}

// sync lets the host read the store, unless it is cut off.
func (fpl *fleetPlay) sync(hos *playedHost) {
	if hos.cut {
		return
	}
	if fpl.damaged {
		hos.history.LoseRecord()
	}
	if fpl.record.Number >= hos.history.Record().Number {
		hos.history.Apply(fpl.now, fpl.record, fpl.era)
	} else {
		hos.history.FindOlder(fpl.now, fpl.record)
	}
	hos.readAt = fpl.now
	hos.served = slices.Clone(fpl.serving)
	hos.history.Observe(fpl.now, "menus", hos.served)
	hos.readers.Confirm(fpl.now)
	hos.readers.SetRegistered(fpl.now, slices.Collect(maps.Keys(fpl.registered)))
	if fpl.registered[hos.epoch] {
		hos.history.Confirm(fpl.now)
	}
	hos.known = hos.history.Record().Number
}

// report delivers the host's report of its record to another one.
func (fpl *fleetPlay) report(from, to *playedHost) {
	if !from.cut && !to.cut {
		to.readers.Learned(fpl.now, from.epoch, from.known)
		to.history.ObserveReport(from.known)
	}
}

// write lets the host write the record that it wants next, if it has the newest one; lost says that the store doesn't carry
// the write out.
func (fpl *fleetPlay) write(hos *playedHost, lost bool) {
	if hos.cut {
		return
	}
	fpl.sync(hos)
	hos.readers.Learned(fpl.now, hos.epoch, hos.known)
	known := hos.history.Record()
	if known.Number > fpl.record.Number {
		fpl.store(hos, hos.history.Restore(fpl.now))
		return
	}
	rec, change := hos.history.Next(fpl.now, fpl.era, hos.readers.KnownToAll(fpl.now))
	if change == affinity.ChangeReduces && !fpl.registered[hos.epoch] {
		return
	}
	if change == affinity.ChangeReduces {
		hos.history.Reduce(fpl.now, rec, fpl.era)
	}
	if change != affinity.ChangeNone && !lost {
		fpl.store(hos, rec)
	}
}

// store lets the host's write take effect.
func (fpl *fleetPlay) store(hos *playedHost, rec affinity.Record) {
	fpl.record, fpl.damaged = rec, false
	fpl.sync(hos)
}

// damage puts another program's value in the place of the record.
func (fpl *fleetPlay) damage() {
	fpl.record, fpl.damaged = affinity.Record{}, fpl.record.Number > 0 || fpl.damaged
}

// settle lets the host write, and the hosts read and report what was written, until streams may begin at each version that
// serves, or a host is waited for.
func (fpl *fleetPlay) settle(writer *playedHost) {
	for range 3 {
		fpl.write(writer, false)
		for _, hos := range fpl.hosts {
			fpl.sync(hos)
			fpl.report(hos, writer)
		}
	}
}

// restoreStore puts a copy of the store in its place, in the next era.
func (fpl *fleetPlay) restoreStore() {
	fpl.era++
	fpl.record, fpl.damaged, fpl.registered = fpl.copied, false, maps.Clone(fpl.copiedRegistered)
	if fpl.registered == nil {
		fpl.registered = make(map[request.Epoch]bool)
	}
}

// begin begins a stream at a version that the host lists and its record opens, if the host is allowed to serve requests.
func (fpl *fleetPlay) begin(hos *playedHost, version string) {
	if fpl.now.Sub(hos.readAt) <= affinity.MaxSoleAge && slices.Contains(hos.served, version) && hos.history.IsOpen("menus", version) {
		fpl.began[version] = fpl.now
	}
}

// resume checks that a host which takes one version for the only one is right: no stream of another one lives.
func (fpl *fleetPlay) resume(hos *playedHost) {
	version, sole := hos.history.Sole(fpl.now, "menus", playedStreamLife)
	if !sole {
		return
	}
	fpl.concluded++
	for other, at := range fpl.began {
		if other != version && fpl.now.Sub(at) < playedStreamLife {
			fpl.rt.Fatalf("host %d takes %s for the only version, a stream of %s is %s old", hos.epoch, version, other, fpl.now.Sub(at))
		}
	}
}

// Guards against streams at another version for any order of cuts, pauses, restarts, restorations of the store, damaged
// records, versions that come and go, and reports that come late or never.
func TestNoHostOfAFleetConcludesWrongly(t *testing.T) {
	concluded := 0
	rapid.Check(t, func(rt *rapid.T) {
		fpl := &fleetPlay{rt: rt, now: start, serving: []string{"v1"}, registered: make(map[request.Epoch]bool), began: make(map[string]time.Time)}
		for range 3 {
			fpl.start()
		}
		host := func(rt *rapid.T, label string) *playedHost {
			return fpl.hosts[rapid.IntRange(0, len(fpl.hosts)-1).Draw(rt, label)]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"join or leave": func(rt *rapid.T) {
				version := fmt.Sprint("v", rapid.IntRange(1, 3).Draw(rt, "version"))
				if idx := slices.Index(fpl.serving, version); idx >= 0 {
					fpl.serving = slices.Delete(fpl.serving, idx, idx+1)
				} else {
					fpl.serving = append(fpl.serving, version)
				}
			},
			"read all": func(*rapid.T) {
				for _, hos := range fpl.hosts {
					fpl.sync(hos)
				}
			},
			"copy":              func(*rapid.T) { fpl.copied, fpl.copiedRegistered = fpl.record, maps.Clone(fpl.registered) },
			"restore the store": func(*rapid.T) { fpl.restoreStore() },
			"damage the record": func(*rapid.T) { fpl.damage() },
			"read":              func(rt *rapid.T) { fpl.sync(host(rt, "host")) },
			"write":             func(rt *rapid.T) { fpl.write(host(rt, "writer"), rapid.IntRange(0, 4).Draw(rt, "lost") == 4) },
			"report":            func(rt *rapid.T) { fpl.report(host(rt, "from"), host(rt, "to")) },
			"cut":               func(rt *rapid.T) { host(rt, "host").cut = true },
			"reconnect":         func(rt *rapid.T) { host(rt, "host").cut = false },
			"register":          func(rt *rapid.T) { fpl.registered[host(rt, "host").epoch] = true },
			"lapse":             func(rt *rapid.T) { delete(fpl.registered, host(rt, "host").epoch) },
			"restart": func(rt *rapid.T) {
				idx := rapid.IntRange(0, len(fpl.hosts)-1).Draw(rt, "host")
				fpl.hosts = slices.Delete(fpl.hosts, idx, idx+1)
				fpl.start()
			},
			"begin": func(rt *rapid.T) {
				fpl.begin(host(rt, "host"), fmt.Sprint("v", rapid.IntRange(1, 3).Draw(rt, "version")))
			},
			"resume": func(rt *rapid.T) { fpl.resume(host(rt, "host")) },
			"settle": func(rt *rapid.T) { fpl.settle(host(rt, "writer")) },
			"begin all": func(*rapid.T) {
				for _, hos := range fpl.hosts {
					fpl.begin(hos, "v1")
					fpl.begin(hos, "v2")
					fpl.begin(hos, "v3")
				}
			},
			"resume all": func(*rapid.T) {
				for _, hos := range fpl.hosts {
					fpl.resume(hos)
				}
			},
			"wait": func(rt *rapid.T) {
				fpl.now = fpl.now.Add(time.Duration(rapid.SampledFrom([]int{10, 200, 1000, 1000, 3000, 4500, 20_000}).Draw(rt, "wait")) * time.Millisecond)
			},
		})
		concluded += fpl.concluded
	})
	assert.Assert(t, concluded > 0, "some hosts conclude")
}
