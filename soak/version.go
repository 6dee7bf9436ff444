package soak

import (
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// softwareVersions are the software versions of the engines, which serve side by side.
var softwareVersions = [2]string{"v1", "v1.1"}

// breakStreams makes some engines break a stream off after a few events, each once or twice, so that hosts resume
// it. Clients resume the streams of hosts that are killed.
func (sys *system) breakStreams() {
	for _, eng := range sys.engines {
		if eng.service != entrytest.Model || eng.hasCrashed() || sys.streamRandom.IntN(2) == 0 {
			continue
		}
		flt := []upstreamtest.Fault{upstreamtest.Truncate, upstreamtest.TruncateInEvent}[sys.streamRandom.IntN(2)]
		sys.control(eng, upstreamtest.PathFault, upstreamtest.FaultRequest{Fault: flt, Times: 1 + sys.streamRandom.IntN(2)})
	}
}

// checkVersions checks that each stream has events of engines of one software version only, over all attempts of
// its client. An answer's signature tells which version brought its first event, an engine's runs at which one the
// rest was written; the runs of crashed engines aren't known.
func (sys *system) checkVersions(sent []sentRequest) {
	sys.t.Helper()
	resumedAt := sys.resumedVersions()
	resumed := 0
	for _, snd := range sent {
		if !snd.request.Resumable {
			continue
		}
		versions := make(map[string]bool)
		for _, att := range snd.result.Attempts {
			if att.Resumes == "" && !sys.numbering.namesEachEvent() {
				// The client couldn't name what it had, and began another stream.
				clear(versions)
			}
			if att.Body != "" && att.Status == 200 {
				versions[upstreamtest.SignedVersion(att.Header.Get("Response-Signature"), att.ID)] = true
			}
			for _, version := range resumedAt[att.ID] {
				versions[version] = true
				resumed++
			}
			if len(versions) > 1 {
				sys.t.Errorf("the stream of %s has events of several software versions: %v", snd.result.Attempts[0].ID, versions)
			}
		}
	}
	sys.t.Logf("%d runs resumed a stream", resumed)
}

// resumedVersions returns the versions of the engines that ran resumed streams, by the id of the attempt.
func (sys *system) resumedVersions() map[string][]string {
	versions := make(map[string][]string)
	for _, eng := range sys.engines {
		if eng.hasCrashed() {
			continue
		}
		for _, run := range sys.runs(eng) {
			if run.LastEvent != "" {
				versions[run.ID] = append(versions[run.ID], eng.version)
			}
		}
	}
	return versions
}
