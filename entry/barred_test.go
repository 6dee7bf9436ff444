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

// Signals in an answer apply to the engine that answers. That may be another engine than the one
// that the request was sent to, since addresses are reused.
func TestSignalsBelongToAnsweringEngine(t *testing.T) {
	const backoff = 3 * time.Second
	end := upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}
	draining := fleet.Notice{Run: end.Engine, Signal: fleet.Draining{}}
	backoffNotice := fleet.Notice{Run: end.Engine, Signal: fleet.Backoff{Remaining: backoff}}
	for _, tst := range []struct {
		name string
		head call.AnswerHead
		want []fleet.Notice
	}{
		{"no signal", call.AnswerHead{}, nil},
		{"two signals", call.AnswerHead{Draining: true, Backoff: backoff}, []fleet.Notice{draining, backoffNotice}},
		{"names itself", call.AnswerHead{Instance: "e1", Draining: true}, []fleet.Notice{draining}},
		{"rejects under its own name", call.AnswerHead{Misdirected: true, Instance: "e1", Draining: true}, []fleet.Notice{draining}},
		{"address reused by another engine", call.AnswerHead{Misdirected: true, Instance: "e2", Draining: true, Backoff: backoff}, []fleet.Notice{{Run: end.Engine, Signal: fleet.Replaced{}}}},
		{"rejects without a name", call.AnswerHead{Misdirected: true, Draining: true}, nil},
		{"rate limit", call.AnswerHead{HasRate: true, Rate: 1.5}, []fleet.Notice{{Run: end.Engine, Signal: fleet.RateLimit{PerSecond: 1.5}}}},
		{"invalid rate limit", call.AnswerHead{InvalidRate: "few"}, nil},
		{"draining with a rate limit", call.AnswerHead{Draining: true, HasRate: true}, []fleet.Notice{draining, {Run: end.Engine, Signal: fleet.RateLimit{}}}},
		{"rate limit of another engine", call.AnswerHead{Instance: "e2", HasRate: true}, nil},
		{"answer of another engine", call.AnswerHead{Instance: "e2", Draining: true}, nil},
	} {
		t.Run(tst.name, func(t *testing.T) {
			assert.DeepEqual(t, newNotices(nil).signals(upstream.HeadReceived{Endpoint: end, Head: tst.head}), tst.want)
		})
	}
}

func newTestHost(t *testing.T, log io.Writer) *Host {
	t.Helper()
	hos, err := New(Config{Settings: settings.Entry{Name: "h1", PeerKey: "key between the hosts"}, Log: zerolog.New(log)})
	assert.NilError(t, err)
	return hos
}

// An engine signals a backoff while a request still waits for a connection to that engine. The
// request isn't sent.
func TestRequestWaitingForConnectionIsNotSentToBlockedEngine(t *testing.T) {
	hos := newTestHost(t, io.Discard)
	run, other := fleet.EngineID{Name: "e1"}, fleet.EngineID{Name: "e2"}
	hos.snapshot.Store(&snapshot{engines: map[string]fleet.Engine{"e1": {ID: run}, "e2": {ID: other}}})
	exc := &exchange{host: hos, route: route.Route{Public: true}, deadline: hos.clock.Now().Add(time.Minute)}
	assert.NilError(t, exc.checkBeforeSend(fleet.Engine{ID: run}))
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Head: call.AnswerHead{Backoff: time.Hour}})
	err := exc.checkBeforeSend(fleet.Engine{ID: run})
	var blocked *BlockedError
	assert.Assert(t, errors.As(err, &blocked), "%v", err)
	_, isBackoff := blocked.Notice.Signal.(fleet.Backoff)
	assert.Assert(t, isBackoff, "%v", blocked)
	assert.NilError(t, exc.checkBeforeSend(fleet.Engine{ID: other}))
}

// lineCounter counts the lines of a log.
type lineCounter struct{ lines int }

// Write implements io.Writer.
func (lic *lineCounter) Write(data []byte) (int, error) {
	lic.lines++
	return len(data), nil
}

// A thousand answers with a backoff signal are logged in a few lines only.
func TestRepeatedBackoffSignalsLogFewLines(t *testing.T) {
	var log lineCounter
	hos := newTestHost(t, &log)
	before := log.lines
	for range 1000 {
		hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}, Head: call.AnswerHead{Backoff: time.Millisecond, InvalidBackoff: "soon"}})
	}
	assert.Assert(t, log.lines-before <= 4, log.lines-before)
}

// An unrecognized header is logged once per service and counted by its name. The numbers of logged
// and of counted names are bounded, whatever names engines invent.
func TestUnrecognizedHeadersAreLoggedOnceAndBounded(t *testing.T) {
	var log lineCounter
	hos := newTestHost(t, &log)
	before := log.lines
	end := upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}
	for range 1000 {
		hos.notices.apply(upstream.HeadReceived{Endpoint: end, Head: call.AnswerHead{UnrecognizedHeaders: []string{"Server-Mood"}}})
	}
	assert.Equal(t, log.lines-before, 1)
	for num := range 1000 {
		hos.notices.apply(upstream.HeadReceived{Endpoint: end, Head: call.AnswerHead{UnrecognizedHeaders: []string{fmt.Sprint("X-", num)}}})
	}
	assert.Assert(t, log.lines-before <= maxUnrecognizedLines)
	text := string(hos.metrics.text(nil))
	assert.Assert(t, strings.Contains(text, "UnknownHeaders.Server-Mood 1000\n"), text)
	assert.Assert(t, strings.Contains(text, "UnknownHeaders.Others "), text)
}

// A grant of an engine that has reported a rate limit to this host is used only if the grant is
// recent and the scheduler knew the limit. Otherwise the host returns the grant.
func TestGrantOutsideRateLimitIsReturned(t *testing.T) {
	hos := newTestHost(t, io.Discard)
	run := fleet.EngineID{Name: "e1"}
	hos.snapshot.Store(&snapshot{engines: map[string]fleet.Engine{"e1": {ID: run}}})
	now := hos.clock.Now()
	assert.NilError(t, hos.checkEngine(fleet.Engine{ID: run}, grant{grantedAt: now}))
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Head: call.AnswerHead{HasRate: true, Rate: 2}})
	assert.NilError(t, hos.checkEngine(fleet.Engine{ID: run}, grant{rate: reservation.GrantRateLimited, grantedAt: now}))
	for _, grt := range []grant{
		{grantedAt: now}, {rate: reservation.GrantRateLimited, grantedAt: now.Add(-time.Second)}, {rate: reservation.GrantRateUnlimited, requestedAt: now.Add(-time.Second), grantedAt: now},
	} {
		var exceeded *RateExceededError
		assert.Assert(t, errors.As(hos.checkEngine(fleet.Engine{ID: run}, grt), &exceeded))
		exc := &exchange{host: hos, route: route.Route{Public: true}, deadline: now.Add(time.Minute), grant: grt}
		assert.Assert(t, blockedBeforeSend(exc.checkBeforeSend(fleet.Engine{ID: run})))
		_, pro := exc.checkGrant(reservation.Grant{Engine: "e1"}, request.ID{Unique: "r1"})
		assert.Assert(t, pro != nil && pro.grantReturned && exc.lastGrantUnused && exc.attempts == 0)
	}
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(time.Hour), Stray: true})
	assert.Assert(t, hos.checkEngine(fleet.Engine{ID: run}, grant{grantedAt: now}) != nil, "a stray answer may be older than the rate limit")
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(-time.Second)})
	assert.Assert(t, hos.checkEngine(fleet.Engine{ID: run}, grant{grantedAt: now}) != nil, "sent before the rate limit was reported")
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(time.Second), Head: call.AnswerHead{InvalidRate: "few"}})
	assert.Assert(t, hos.checkEngine(fleet.Engine{ID: run}, grant{grantedAt: now}) != nil, "an invalid rate doesn't end the rate limit")
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Sent: now.Add(time.Hour)})
	assert.NilError(t, hos.checkEngine(fleet.Engine{ID: run}, grant{grantedAt: now}))
}

// An answer to another host has shown that an engine's rate limit has ended. The scheduler knows so,
// and its next grant ends the limit for this host, too.
func TestRateLimitEndsWithGrantOfInformedScheduler(t *testing.T) {
	hos := newTestHost(t, io.Discard)
	run := fleet.EngineID{Name: "e1"}
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Head: call.AnswerHead{HasRate: true, Rate: 2}})
	now := hos.clock.Now()
	assert.Assert(t, hos.checkEngine(fleet.Engine{ID: run}, grant{grantedAt: now}) != nil)
	assert.NilError(t, hos.checkEngine(fleet.Engine{ID: run}, grant{rate: reservation.GrantRateUnlimited, requestedAt: now.Add(time.Millisecond), grantedAt: now}))
	assert.NilError(t, hos.checkEngine(fleet.Engine{ID: run}, grant{grantedAt: now}), "the rate limit has ended for this host")
}

// A coordinator may grant an engine whose signal has reached only this host. The host returns
// the grant, which uses up none of the request's attempts.
func TestGrantOfBlockedEngineIsReturned(t *testing.T) {
	for _, head := range []call.AnswerHead{{Draining: true}, {Backoff: time.Hour}, {Misdirected: true, Instance: "e2"}} {
		hos := newTestHost(t, io.Discard)
		run := fleet.EngineID{Name: "e1"}
		hos.snapshot.Store(&snapshot{engines: map[string]fleet.Engine{"e1": {ID: run}}})
		exc := &exchange{host: hos, route: route.Route{Public: true}}
		rid := request.ID{Unique: "r1"}
		_, pro := exc.checkGrant(reservation.Grant{Engine: "e1"}, rid)
		assert.Assert(t, pro == nil)
		hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: run}, Head: head})
		hos.broker.activeGrants[rid] = &reservation.Adopt{ID: rid, Engine: "e1"}
		_, pro = exc.checkGrant(reservation.Grant{Engine: "e1"}, rid)
		assert.Assert(t, pro != nil && pro.grantReturned, "%+v", head)
		assert.Assert(t, exc.lastGrantUnused && exc.attempts == 0 && len(exc.exclude) == 0)
		assert.Equal(t, len(hos.broker.activeGrants), 0)
	}
}

// A host that may become the coordinator gets all current engine signals when its session opens.
func TestNewSessionReceivesEngineSignals(t *testing.T) {
	hos := newTestHost(t, io.Discard)
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e1"}}, Head: call.AnswerHead{Draining: true}})
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e2"}}, Head: call.AnswerHead{Backoff: time.Hour}})
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e3"}}, Head: call.AnswerHead{Backoff: time.Nanosecond}})
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: fleet.EngineID{Name: "e4"}}, Head: call.AnswerHead{HasRate: true, Rate: 2}})
	que := peer.NewQueue()
	hos.broker.linkUp(&link{member: fleet.Member{Name: "h2", Epoch: 7}, queue: que, cancel: func() {}})
	var sent []string
	for out, more := que.Take(); more; out, more = que.Take() {
		if notice, isNotice := out.Message.(reservation.EngineNotice); isNotice {
			sent = append(sent, notice.Run.Name+" "+notice.Signal.String())
		}
	}
	slices.Sort(sent)
	assert.DeepEqual(t, sent, []string{"e1 Draining", "e2 Backoff", "e4 RateLimit"})
}

// Guards against crashes that stay unconfirmed at a coordinator without the store: one client's
// request crashed eight engines while all three hosts were in session. The engines listened for a
// moment after their crashes, so only the deletion of their entries confirmed these, and the
// coordinator saw no deletion. The other hosts confirmed the crashes, but reported that only to
// gateways that had delegated to them, and there were none. Coordinators must receive a report when
// a crash is confirmed, not only when a request is cleared.
func TestCoordinatorReceivesCrashesConfirmedByOtherHosts(t *testing.T) {
	hos := newTestHost(t, io.Discard)
	que := peer.NewQueue()
	hos.broker.linkUp(&link{member: fleet.Member{Name: "h2", Epoch: 7}, queue: que, cancel: func() {}})
	var engines []fleet.Engine
	for _, name := range []string{"e1", "e2", "e3"} {
		engines = append(engines, fleet.Engine{ID: fleet.EngineID{Name: name}, Service: "s", Slots: 4})
	}
	hos.broker.handle(scheduler.EnginesChanged{Engines: engines})
	sub := quarantine.Subject{Digest: call.Digest{7}, Service: "s", Account: "kitchen", Route: "r"}
	for _, name := range []string{"e1", "e2"} {
		hos.broker.reportEngineCrash(reservation.EngineCrashed{
			ID: request.ID{Unique: "at-" + name}, Unconfirmed: true, Observation: quarantine.Observation{Subject: sub, Engine: name},
		})
	}
	for range que.Len() {
		que.Take()
	}
	hos.broker.handle(scheduler.EnginesChanged{Engines: engines[2:]})
	crashes := 0
	for range que.Len() {
		out, _ := que.Take()
		if rep, isReport := out.Message.(reservation.CaseReport); isReport && rep.Digest == sub.Digest {
			crashes = max(crashes, len(rep.Crashes))
		}
	}
	assert.Equal(t, crashes, 2)
}
