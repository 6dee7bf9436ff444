package entry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/upstream"
)

// An answer is the word of the engine that gives it, which may be another one than was
// asked: an address is used again.
func TestAnswerIsTheWordOfWhoGivesIt(t *testing.T) {
	const backoff = 3 * time.Second
	end := upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}
	leaves := fleet.Notice{Run: end.Engine, Word: fleet.Leaving{}}
	pause := fleet.Notice{Run: end.Engine, Word: fleet.Pause{Left: backoff}}
	for _, tst := range []struct {
		name string
		head call.AnswerHead
		want []fleet.Notice
	}{
		{"says nothing", call.AnswerHead{}, nil},
		{"says both", call.AnswerHead{Draining: true, Backoff: backoff}, []fleet.Notice{leaves, pause}},
		{"names itself", call.AnswerHead{Instance: "e1", Draining: true}, []fleet.Notice{leaves}},
		{"turns away by its own name", call.AnswerHead{Misdirected: true, Instance: "e1", Draining: true}, []fleet.Notice{leaves}},
		{"another one's address now", call.AnswerHead{Misdirected: true, Instance: "e2", Draining: true, Backoff: backoff}, []fleet.Notice{{Run: end.Engine, Word: fleet.Replaced{}}}},
		{"turns away without a name", call.AnswerHead{Misdirected: true, Draining: true}, nil},
		{"names a rate", call.AnswerHead{HasRate: true, Rate: 1.5}, []fleet.Notice{{Run: end.Engine, Word: fleet.RateLimit{PerSecond: 1.5}}}},
		{"names a rate that can't be read", call.AnswerHead{UnreadRate: "few"}, nil},
		{"names a rate and leaves", call.AnswerHead{Draining: true, HasRate: true}, []fleet.Notice{leaves, {Run: end.Engine, Word: fleet.RateLimit{}}}},
		{"another one's rate", call.AnswerHead{Instance: "e2", HasRate: true}, nil},
		{"another one answers", call.AnswerHead{Instance: "e2", Draining: true}, nil},
	} {
		t.Run(tst.name, func(t *testing.T) {
			assert.DeepEqual(t, newNotices(nil).words(upstream.Heard{Endpoint: end, Head: tst.head}), tst.want)
		})
	}
}

func barredHost(t *testing.T, log io.Writer) *Host {
	t.Helper()
	hos, err := New(Config{Settings: settings.Entry{Name: "h1", PeerKey: "key between the hosts"}, Log: zerolog.New(log)})
	assert.NilError(t, err)
	return hos
}

// A request whose connection is only being made when its engine says that it wants nothing
// isn't written to it.
func TestRequestThatWaitsForAConnectionIsNotSent(t *testing.T) {
	hos := barredHost(t, io.Discard)
	run := fleet.EngineID{Name: "e1"}
	exc := &exchange{host: hos, route: route.Route{Public: true}, deadline: hos.clock.Now().Add(time.Minute)}
	assert.NilError(t, exc.mayStillSend(fleet.Engine{ID: run}))
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Head: call.AnswerHead{Backoff: time.Hour}})
	err := exc.mayStillSend(fleet.Engine{ID: run})
	var barred *BarredError
	assert.Assert(t, errors.As(err, &barred), "%v", err)
	_, isPause := barred.Notice.Word.(fleet.Pause)
	assert.Assert(t, isPause, "%v", barred)
	assert.NilError(t, exc.mayStillSend(fleet.Engine{ID: fleet.EngineID{Name: "e2"}}))
}

// lineCounter counts the lines of a log.
type lineCounter struct{ lines int }

// Write implements io.Writer.
func (lic *lineCounter) Write(data []byte) (int, error) {
	lic.lines++
	return len(data), nil
}

// A thousand such answers are counted, and told in a line or two.
func TestManyAnswersThatAskForAPauseAreAFewLines(t *testing.T) {
	var log lineCounter
	hos := barredHost(t, &log)
	before := log.lines
	for range 1000 {
		hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}, Head: call.AnswerHead{Backoff: time.Millisecond, UnreadBackoff: "soon"}})
	}
	assert.Assert(t, log.lines-before <= 4, log.lines-before)
}

// A header that nobody reads is told once a service, and counted by name; names that engines
// make up don't fill the memory.
func TestUnknownHeadersAreToldOnceAndBounded(t *testing.T) {
	var log lineCounter
	hos := barredHost(t, &log)
	before := log.lines
	end := upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}
	for range 1000 {
		hos.notices.take(upstream.Heard{Endpoint: end, Head: call.AnswerHead{Unknown: []string{"Server-Mood"}}})
	}
	assert.Equal(t, log.lines-before, 1)
	for num := range 1000 {
		hos.notices.take(upstream.Heard{Endpoint: end, Head: call.AnswerHead{Unknown: []string{fmt.Sprint("X-", num)}}})
	}
	assert.Assert(t, log.lines-before <= maxUnknownLines)
	text := string(hos.figures.text(nil))
	assert.Assert(t, strings.Contains(text, "UnknownHeaders.Server-Mood 1000\n"), text)
	assert.Assert(t, strings.Contains(text, "UnknownHeaders.Others "), text)
}

// A grant of an engine that has named a rate to this host is used while it is fresh, and only
// if who decided knew of the rate. It goes back otherwise, and those who decide are told.
func TestGrantThatIsNotWithinTheRateIsSentBack(t *testing.T) {
	hos := barredHost(t, io.Discard)
	run := fleet.EngineID{Name: "e1"}
	hos.belief.Store(&belief{engines: map[string]fleet.Engine{"e1": {ID: run}}})
	now := hos.clock.Now()
	assert.NilError(t, hos.maySend(fleet.Engine{ID: run}, grant{at: now}))
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Head: call.AnswerHead{HasRate: true, Rate: 2}})
	assert.NilError(t, hos.maySend(fleet.Engine{ID: run}, grant{rate: reservation.GrantRatePaced, at: now}))
	for _, grt := range []grant{
		{at: now}, {rate: reservation.GrantRatePaced, at: now.Add(-time.Second)}, {rate: reservation.GrantRateEnded, asked: now.Add(-time.Second), at: now},
	} {
		var unpaced *UnpacedError
		assert.Assert(t, errors.As(hos.maySend(fleet.Engine{ID: run}, grt), &unpaced))
		exc := &exchange{host: hos, route: route.Route{Public: true}, deadline: now.Add(time.Minute), grant: grt}
		assert.Assert(t, unwanted(exc.mayStillSend(fleet.Engine{ID: run})))
		_, pro := exc.granted("e1", request.ID{Unique: "r1"})
		assert.Assert(t, pro != nil && pro.sentBack && exc.again && exc.attempts == 0)
	}
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(time.Hour), Stray: true})
	assert.Assert(t, hos.maySend(fleet.Engine{ID: run}, grant{at: now}) != nil, "an answer to another request may be older")
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(-time.Second)})
	assert.Assert(t, hos.maySend(fleet.Engine{ID: run}, grant{at: now}) != nil, "sent before it was named")
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(time.Second), Head: call.AnswerHead{UnreadRate: "few"}})
	assert.Assert(t, hos.maySend(fleet.Engine{ID: run}, grant{at: now}) != nil, "what can't be read ends nothing")
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(time.Hour)})
	assert.NilError(t, hos.maySend(fleet.Engine{ID: run}, grant{at: now}))
}

// Another host's answer has shown that the rate is over: who decides knows, and this host with
// the next grant that it asks for.
func TestRateEndsWithTheGrantOfWhoKnowsItsEnd(t *testing.T) {
	hos := barredHost(t, io.Discard)
	run := fleet.EngineID{Name: "e1"}
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Head: call.AnswerHead{HasRate: true, Rate: 2}})
	now := hos.clock.Now()
	assert.Assert(t, hos.maySend(fleet.Engine{ID: run}, grant{at: now}) != nil)
	assert.NilError(t, hos.maySend(fleet.Engine{ID: run}, grant{rate: reservation.GrantRateEnded, asked: now.Add(time.Millisecond), at: now}))
	assert.NilError(t, hos.maySend(fleet.Engine{ID: run}, grant{at: now}), "it has ended for this host")
}

// A coordinator that hasn't heard it yet may grant what an engine has told this host alone.
// The grant goes back, and costs the request nothing.
func TestGrantOfAnEngineThatWantsNothingIsSentBack(t *testing.T) {
	for _, head := range []call.AnswerHead{{Draining: true}, {Backoff: time.Hour}, {Misdirected: true, Instance: "e2"}} {
		hos := barredHost(t, io.Discard)
		run := fleet.EngineID{Name: "e1"}
		hos.belief.Store(&belief{engines: map[string]fleet.Engine{"e1": {ID: run}}})
		exc := &exchange{host: hos, route: route.Route{Public: true}}
		rid := request.ID{Unique: "r1"}
		_, pro := exc.granted("e1", rid)
		assert.Assert(t, pro == nil)
		hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: run}, Head: head})
		hos.desk.holds[rid] = &reservation.Adopt{ID: rid, Engine: "e1"}
		_, pro = exc.granted("e1", rid)
		assert.Assert(t, pro != nil && pro.sentBack, "%+v", head)
		assert.Assert(t, exc.again && exc.attempts == 0 && len(exc.exclude) == 0)
		assert.Equal(t, len(hos.desk.holds), 0)
	}
}

// A host that may decide next is told all that engines have said when its session opens.
func TestSessionThatOpensIsToldWhatEnginesSaid(t *testing.T) {
	hos := barredHost(t, io.Discard)
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}, Head: call.AnswerHead{Draining: true}})
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e2"}}, Head: call.AnswerHead{Backoff: time.Hour}})
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e3"}}, Head: call.AnswerHead{Backoff: time.Nanosecond}})
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e4"}}, Head: call.AnswerHead{HasRate: true, Rate: 2}})
	que := peer.NewQueue()
	hos.desk.linkUp(&link{member: fleet.Member{Name: "h2", Epoch: 7}, queue: que, cancel: func() {}})
	var told []string
	for out, more := que.Take(); more; out, more = que.Take() {
		if not, isNotice := out.Message.(reservation.EngineNotice); isNotice {
			told = append(told, not.Run.Name+" "+not.Word.String())
		}
	}
	slices.Sort(told)
	assert.DeepEqual(t, told, []string{"e1 Draining", "e2 Backoff", "e4 RateLimit"})
}

// Seen: one caller's request ended eight engines, while all three hosts were in session.
// Came about so: engines that ended went on listening for a moment, so that it was in doubt
// whether they had, until their entries went. The host that decided had lost the store and
// saw no entry go; the others settled their doubts, suspected and held the request, and told
// only gateways that they decide for, of which there were none.
// Cause: what a host concludes reached those who decide only when it was cleared, and what
// those hear themselves hung on the store.
// Proof: this test; nobody is told that the request is suspected.
func TestWhoDecidesIsToldOfDoubtsThatAnotherHostSettled(t *testing.T) {
	hos := barredHost(t, io.Discard)
	que := peer.NewQueue()
	hos.desk.linkUp(&link{member: fleet.Member{Name: "h2", Epoch: 7}, queue: que, cancel: func() {}})
	var engines []fleet.Engine
	for _, name := range []string{"e1", "e2", "e3"} {
		engines = append(engines, fleet.Engine{ID: fleet.EngineID{Name: name}, Service: "s", Slots: 4})
	}
	hos.desk.handle(scheduler.EnginesChanged{Engines: engines})
	sub := quarantine.Subject{Digest: call.Digest{7}, Service: "s", Account: "kitchen", Route: "r"}
	for _, name := range []string{"e1", "e2"} {
		hos.desk.engineEnded(reservation.EngineEnded{
			ID: request.ID{Unique: "at-" + name}, Uncertain: true, Observation: quarantine.Observation{Subject: sub, Engine: name},
		})
	}
	for range que.Len() {
		que.Take()
	}
	hos.desk.handle(scheduler.EnginesChanged{Engines: engines[2:]})
	ends := 0
	for range que.Len() {
		out, _ := que.Take()
		if rep, isReport := out.Message.(reservation.CaseReport); isReport && rep.Digest == sub.Digest {
			ends = max(ends, len(rep.Ends))
		}
	}
	assert.Equal(t, ends, 2)
}
