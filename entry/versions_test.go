package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

const (
	// resumedStreams is the number of streams of a case, resumedEvents the number of their events, and
	// cutAfterEvent the last event that a client receives before it resumes its stream.
	resumedStreams = 40
	resumedEvents  = 12
	cutAfterEvent  = 5
	// streamsAtOnce is how many clients send at a time, so that all engines run some of the streams.
	streamsAtOnce = 16
)

// versionedSystem is a system whose engines are of two software versions.
type versionedSystem struct {
	*entrytest.System
	t       *testing.T
	engines []*upstreamtest.Engine
}

// startWithVersions starts hosts and eight engines, every other one of the second version.
func startWithVersions(t *testing.T, hosts int) *versionedSystem {
	t.Helper()
	return startWithNumberedVersions(t, hosts, upstreamtest.FromOne)
}

// startWithNumberedVersions does so with engines that number their events in a way.
func startWithNumberedVersions(t *testing.T, hosts int, ids upstreamtest.EventIDs) *versionedSystem {
	t.Helper()
	var engines []*upstreamtest.Engine
	for num := range 8 {
		engines = append(engines, upstreamtest.NewEngine(upstreamtest.Config{
			ID: fmt.Sprintf("e%d", num), Service: entrytest.Model, Slots: 4, Events: resumedEvents, EventIDs: ids, Step: 5 * time.Millisecond,
			Version: []string{"v1", "v1.1"}[num%2],
		}))
	}
	sys := entrytest.Start(t, entrytest.Config{Hosts: hosts, Engines: engines})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitForEngines(len(engines))
	return &versionedSystem{System: sys, t: t, engines: engines}
}

// versionsOf returns the versions of the engines that ran any of the attempts.
func (vsy *versionedSystem) versionsOf(ids ...string) map[string]bool {
	versions := make(map[string]bool)
	for _, eng := range vsy.engines {
		for _, run := range eng.Runs() {
			for _, id := range ids {
				if run.ID == id {
					versions[eng.Version()] = true
				}
			}
		}
	}
	return versions
}

// streamRequest returns a request for a stream; an id of the attempt that began the stream resumes it after the
// event.
func streamRequest(id, resumes string, after int) entrytest.Request {
	if after == 0 {
		return streamRequestBehind(id, resumes, "")
	}
	return streamRequestBehind(id, resumes, strconv.Itoa(after))
}

// streamRequestBehind returns a request for a stream that goes on behind an event with the id; an empty one begins it.
func streamRequestBehind(id, resumes, lastEvent string) entrytest.Request {
	req := entrytest.Request{ID: id, Path: "/resume/x", Body: "week", Header: map[string]string{"Token-Counts": "10,60", "Deadline-Ms": "4000"}}
	if lastEvent != "" {
		req.Header["Last-Event-Id"], req.Header["Resumes"] = lastEvent, resumes
	}
	return req
}

// concurrently calls the function for each number below count, streamsAtOnce at a time.
func concurrently(count int, call func(num int)) {
	var grp errgroup.Group
	grp.SetLimit(streamsAtOnce)
	for num := range count {
		grp.Go(func() error {
			call(num)
			return nil
		})
	}
	// The functions return no error.
	_ = grp.Wait()
}

// begin begins the streams, each at a host in turn, and cuts them after cutAfterEvent.
func (vsy *versionedSystem) begin(streams int) {
	vsy.t.Helper()
	concurrently(streams, func(num int) {
		ans := vsy.beginOne(vsy.Hosts[num%len(vsy.Hosts)], num)
		assert.Check(vsy.t, ans.Status == http.StatusOK, ans.Body)
	})
}

// waitForOneCoordinator waits until one host schedules for all: it has borrowed the others' shares of the limits.
func (vsy *versionedSystem) waitForOneCoordinator() {
	vsy.t.Helper()
	vsy.WaitUntil("one host schedules for all", func() bool {
		return slices.ContainsFunc(vsy.Hosts, func(hos *entrytest.Host) bool {
			return hos.Dump().Limits.Lenders == len(vsy.Hosts)-1
		})
	})
}

// beginOne begins a stream at the host, and cuts it after cutAfterEvent.
func (vsy *versionedSystem) beginOne(hos *entrytest.Host, num int) entrytest.Answer {
	vsy.t.Helper()
	return vsy.SendUntilEvent(vsy.t.Context(), hos, streamRequest(fmt.Sprintf("begin-%d", num), "", 0), cutAfterEvent)
}

// resume resumes the streams at the hosts, each at the next one. It returns how many went on, and how many
// of these at another version.
func (vsy *versionedSystem) resume(streams int, hosts []*entrytest.Host) (resumed, mixed int) {
	vsy.t.Helper()
	answers := make([]entrytest.Answer, streams)
	concurrently(streams, func(num int) {
		answers[num] = vsy.Send(vsy.t.Context(), hosts[(num+1)%len(hosts)], streamRequest(fmt.Sprintf("again-%d", num), fmt.Sprintf("begin-%d", num), cutAfterEvent))
	})
	for num, ans := range answers {
		begin, again := fmt.Sprintf("begin-%d", num), fmt.Sprintf("again-%d", num)
		if ans.Err != nil || ans.Status != http.StatusOK {
			assert.Equal(vsy.t, len(vsy.versionsOf(again)), 0, "a refused request hasn't run: %d %s %v", ans.Status, ans.Body, ans.Err)
			continue
		}
		assert.Assert(vsy.t, strings.HasPrefix(ans.Body, upstreamtest.EventText(again, cutAfterEvent+1)), ans.Body)
		resumed++
		if len(vsy.versionsOf(begin, again)) > 1 {
			mixed++
		}
	}
	return resumed, mixed
}

// Guards against streams that hold events of two software versions: a client resumed its stream at another
// host, and it went on at any engine of the service.
func TestStreamsResumeAtTheirVersion(t *testing.T) {
	for name, disturb := range map[string]func(*versionedSystem) []*entrytest.Host{
		"all in touch": func(vsy *versionedSystem) []*entrytest.Host { return vsy.Hosts },
		"store away": func(vsy *versionedSystem) []*entrytest.Host {
			vsy.Store.SetFaults(platformtest.Faults{Down: true})
			return vsy.Hosts
		},
		"coordinator lost": func(vsy *versionedSystem) []*entrytest.Host {
			vsy.Hosts[0].Stop()
			return vsy.Hosts[1:]
		},
		"both candidates lost": func(vsy *versionedSystem) []*entrytest.Host {
			vsy.Hosts[0].Stop()
			vsy.Hosts[1].Stop()
			return vsy.Hosts[2:]
		},
		"forwarded through other hosts": func(vsy *versionedSystem) []*entrytest.Host {
			for _, hos := range vsy.Hosts[:2] {
				hos.EnginePath.Set(cuts["refused"])
			}
			return vsy.Hosts
		},
		"one engine of a version left": func(vsy *versionedSystem) []*entrytest.Host {
			for _, eng := range vsy.engines[2:] {
				if eng.Version() == "v1" {
					vsy.RemoveEngine(eng.ID())
				}
			}
			vsy.WaitForEngines(5)
			return vsy.Hosts
		},
		"all but one host lost": func(vsy *versionedSystem) []*entrytest.Host {
			for _, hos := range vsy.Hosts[:3] {
				hos.Stop()
			}
			return vsy.Hosts[3:]
		},
	} {
		t.Run(name, func(t *testing.T) {
			vsy := startWithVersions(t, 4)
			vsy.begin(resumedStreams)
			resumed, mixed := vsy.resume(resumedStreams, disturb(vsy))
			assert.Equal(t, mixed, 0, "%d of %d streams went on", resumed, resumedStreams)
			assert.Assert(t, 10*resumed >= 9*resumedStreams, "%d of %d streams went on, both versions serve", resumed, resumedStreams)
		})
	}
}

// Guards against streams that hold events of two software versions (ORDER): a client that named the event 0, or one below,
// passed for one that begins a stream, and went on at any version.
func TestStreamsResumeAtTheirVersionBehindAnyEvent(t *testing.T) {
	for _, tst := range []struct {
		ids   upstreamtest.EventIDs
		after int
	}{
		{upstreamtest.FromZero, 1},
		{upstreamtest.FromMinusTwenty, 5},
		{upstreamtest.FromMinusTwo, 2},
		{upstreamtest.Padded, 5},
		{upstreamtest.BeyondLimit, 5},
		{upstreamtest.Texts, 5},
	} {
		lastEvent := tst.ids.ID(tst.after)
		t.Run("behind "+lastEvent, func(t *testing.T) {
			vsy := startWithNumberedVersions(t, 4, tst.ids)
			concurrently(resumedStreams, func(num int) {
				begin, again := fmt.Sprintf("begin-%d", num), fmt.Sprintf("again-%d", num)
				vsy.SendUntilEvent(t.Context(), vsy.Hosts[num%4], streamRequestBehind(begin, "", ""), tst.after)
				ans := vsy.Send(t.Context(), vsy.Hosts[(num+1)%4], streamRequestBehind(again, begin, lastEvent))
				assert.Check(t, ans.Status == http.StatusOK && ans.Err == nil, "%s %v", ans.Body, ans.Err)
				want := strings.TrimPrefix(tst.ids.StreamBody(again, resumedEvents), tst.ids.StreamBody(again, tst.after))
				assert.Check(t, ans.Body == want, "got %q", ans.Body)
				assert.Check(t, len(vsy.versionsOf(begin, again)) == 1, "%v", vsy.versionsOf(begin, again))
			})
		})
	}
}

// Guards against one answer with events of two software versions: an engine broke its stream off, and the
// host resumed it at any engine of the service.
func TestHostResumesStreamAtItsVersion(t *testing.T) {
	vsy := startWithVersions(t, 2)
	mixed := 0
	for num := range resumedStreams {
		for _, eng := range vsy.engines {
			eng.ClearFaults()
			eng.InjectFault(upstreamtest.Truncate, 1)
		}
		id := fmt.Sprintf("cut-%d", num)
		vsy.Send(t.Context(), vsy.Hosts[num%2], streamRequest(id, "", 0))
		if len(vsy.versionsOf(id)) > 1 {
			mixed++
		}
	}
	assert.Equal(t, mixed, 0, "of %d streams", resumedStreams)
}

// Once the version that began a stream is gone, the stream isn't resumed, and the refusal says that the
// request hasn't run.
func TestStreamOfVersionThatIsGoneIsRefused(t *testing.T) {
	vsy := startWithVersions(t, 3)
	vsy.begin(resumedStreams)
	for _, eng := range vsy.engines {
		if eng.Version() == "v1" {
			vsy.RemoveEngine(eng.ID())
		}
	}
	vsy.WaitForEngines(4)
	for num := range resumedStreams {
		begin, again := fmt.Sprintf("begin-%d", num), fmt.Sprintf("again-%d", num)
		ans := vsy.Send(t.Context(), vsy.Hosts[num%3], streamRequest(again, begin, cutAfterEvent))
		want := http.StatusOK
		if vsy.versionsOf(begin)["v1"] {
			want = http.StatusServiceUnavailable
		}
		assert.Equal(t, ans.Status, want, ans.Body)
		assert.Equal(t, len(vsy.versionsOf(begin, again)), 1)
	}
}

// A client that resumes its stream several times names the attempt that brought the first event each time.
func TestStreamIsResumedSeveralTimesAtItsVersion(t *testing.T) {
	vsy := startWithVersions(t, 3)
	const lives = 4
	concurrently(resumedStreams, func(num int) {
		begin := fmt.Sprintf("begin-%d", num)
		ids := []string{begin}
		vsy.SendUntilEvent(t.Context(), vsy.Hosts[num%3], streamRequest(begin, "", 0), 2)
		for life := 1; life < lives; life++ {
			again := fmt.Sprintf("again-%d-%d", num, life)
			ans := vsy.SendUntilEvent(t.Context(), vsy.Hosts[(num+life)%3], streamRequest(again, begin, 2*life), 2)
			assert.Check(t, ans.Status == http.StatusOK, ans.Body)
			ids = append(ids, again)
		}
		assert.Check(t, len(vsy.versionsOf(ids...)) == 1, "%v", vsy.versionsOf(ids...))
	})
}

// clientPatience is how long a client that is told to come back does so.
const clientPatience = 4 * time.Second

// resumeUntilFinal resumes a stream at a host, and again whenever the client is told to come back. It returns the last
// answer, and the ids of all attempts.
func (vsy *versionedSystem) resumeUntilFinal(hos *entrytest.Host, num int) (entrytest.Answer, []string) {
	begin := fmt.Sprintf("begin-%d", num)
	ids := []string{begin}
	for started := time.Now(); ; {
		id := fmt.Sprintf("again-%d-%d", num, len(ids))
		ids = append(ids, id)
		ans := vsy.Send(vsy.t.Context(), hos, streamRequest(id, begin, cutAfterEvent))
		after, err := strconv.ParseFloat(ans.Header.Get("Retry-After"), 64)
		if ans.Status != http.StatusServiceUnavailable || err != nil || time.Since(started) > clientPatience {
			return ans, ids
		}
		comeBack := time.After(time.Duration(after * float64(time.Second)))
		select {
		case <-comeBack:
		case <-vsy.t.Context().Done():
			return ans, ids
		}
	}
}

// Guards against a stream that is refused for good by a host that schedules for itself, and hasn't heard from the others
// yet, which granted the stream.
func TestStreamIsResumedAtHostThatIsBackInTouch(t *testing.T) {
	for _, alone := range []int{0, 2} {
		t.Run(fmt.Sprintf("host %d", alone), func(t *testing.T) {
			vsy := startWithVersions(t, 3)
			back := vsy.Hosts[alone]
			others := slices.Delete(slices.Clone(vsy.Hosts), alone, alone+1)
			back.SetPeersCut(outOfStep["connections reset"])
			vsy.WaitUntil("the host schedules for itself, one of the others for both", func() bool {
				own, coordinator := back.Dump(), others[0].Dump().Coordinator
				return own.Own && len(own.Sessions) == 0 && coordinator != own.Epoch && coordinator == others[1].Dump().Coordinator
			})
			concurrently(resumedStreams, func(num int) {
				// While the hosts change their coordinator, one may refuse.
				vsy.WaitUntil("the stream begins", func() bool { return vsy.beginOne(others[num%len(others)], num).Status == http.StatusOK })
			})
			back.SetPeersCut(upstreamtest.PathState{})
			concurrently(resumedStreams, func(num int) {
				ans, ids := vsy.resumeUntilFinal(back, num)
				assert.Check(t, ans.Status == http.StatusOK, "%s %v", ans.Body, ids)
				assert.Check(t, len(vsy.versionsOf(ids...)) == 1, "%v", vsy.versionsOf(ids...))
			})
		})
	}
}

// An attempt of another account, and one that nobody knows, get the same refusal.
func TestForeignStreamIsRefusedLikeAnUnknownOne(t *testing.T) {
	vsy := startWithVersions(t, 3)
	vsy.begin(1)
	con := strings.Replace(entrytest.Configuration{Version: 2}.JSON(), `"tenants":[`, `"tenants":[{"name":"other","api_keys":["other-key"]},`, 1)
	vsy.ConfigureText(con)
	vsy.WaitForVersion(2)
	// While several hosts schedule, an unknown stream may still be reported, and its client is told to come back.
	vsy.waitForOneCoordinator()
	var bodies []string
	for _, hos := range vsy.Hosts {
		for _, resumes := range []string{"begin-0", "never-sent"} {
			req := streamRequest("again", resumes, cutAfterEvent)
			req.Key = "other-key"
			ans := vsy.Send(t.Context(), hos, req)
			assert.Equal(t, ans.Status, http.StatusServiceUnavailable, ans.Body)
			assert.Equal(t, ans.Header.Get("Retry-After"), "")
			bodies = append(bodies, ans.Body)
		}
	}
	for _, body := range bodies {
		assert.Equal(t, body, bodies[0])
	}
	assert.Equal(t, len(vsy.versionsOf("again")), 0)
}
