package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/upstream"
)

// headerFor returns the header of a request for a client account.
func headerFor(account string) http.Header {
	return platform.EngineHeader(call.Request{Header: http.Header{}}, platform.Attempt{Account: account})
}

// Guards against a cut host that has no host left to forward for it, since those that it asked knew before it that an engine
// drains or has left.
func TestEngineThatTakesNoRequestsDoesNotDisqualifyForwarders(t *testing.T) {
	run := fleet.EngineID{Name: "e1"}
	for name, engines := range map[string]map[string]fleet.Engine{"draining": {"e1": {ID: run, Draining: true}}, "gone": {}} {
		t.Run(name, func(t *testing.T) {
			other, cut := newTestHost(t, io.Discard), newTestHost(t, io.Discard)
			other.snapshot.Store(&snapshot{engines: engines})
			cut.snapshot.Store(&snapshot{members: []fleet.Member{{Name: "h2", Epoch: 2}}})
			_, err := forwarder{host: other}.OpenForward(t.Context(), run)
			assert.ErrorContains(t, err, "takes no requests")
			cut.paths.recordForwarder(2, forwardResult(err))
			assert.Equal(t, len(cut.paths.forwarders()), 1)
			cut.paths.recordForwarder(2, peer.ForwardNoPath)
			assert.Equal(t, len(cut.paths.forwarders()), 0)
		})
	}
}

// Guards against a host that forwards what it would not send itself: the other host's knowledge may be older, and
// the engine's signals concern the host that sends.
func TestForwarderChecksRequestsItself(t *testing.T) {
	run := fleet.EngineID{Name: "e1"}
	end := upstream.Endpoint{Engine: run}
	cases := map[string]struct {
		change func(hos *Host, snp *snapshot, req *peer.ForwardRequest)
		sent   bool
	}{
		"sound":           {func(*Host, *snapshot, *peer.ForwardRequest) {}, true},
		"deadline passed": {func(_ *Host, _ *snapshot, req *peer.ForwardRequest) { req.Remaining = 0 }, false},
		"engine gone":     {func(_ *Host, snp *snapshot, _ *peer.ForwardRequest) { delete(snp.engines, "e1") }, false},
		"engine drains": {func(_ *Host, snp *snapshot, _ *peer.ForwardRequest) {
			snp.engines["e1"] = fleet.Engine{ID: run, Domain: "d1", Draining: true}
		}, false},
		"domain emptied": {func(_ *Host, snp *snapshot, _ *peer.ForwardRequest) {
			snp.engines["e1"] = fleet.Engine{ID: run, Domain: "d1", Emptied: true}
		}, false},
		"domain being emptied": {func(hos *Host, _ *snapshot, _ *peer.ForwardRequest) {
			hos.evacuations.setOrders([]evacuation.Order{{Domain: "d1"}})
		}, false},
		"key revoked":            {func(_ *Host, _ *snapshot, req *peer.ForwardRequest) { req.Key = "revoked" }, false},
		"key of another account": {func(_ *Host, _ *snapshot, req *peer.ForwardRequest) { req.Header = headerFor("cellar") }, false},
		"no configuration":       {func(_ *Host, snp *snapshot, _ *peer.ForwardRequest) { snp.table = nil }, false},
		"never confirmed":        {func(hos *Host, _ *snapshot, _ *peer.ForwardRequest) { hos.confirmed.Store(neverConfirmed) }, false},
		"public, unknown key": {func(hos *Host, _ *snapshot, req *peer.ForwardRequest) {
			hos.confirmed.Store(neverConfirmed)
			req.Public, req.Key = true, ""
		}, true},
		"engine backs off": {func(hos *Host, _ *snapshot, _ *peer.ForwardRequest) {
			hos.notices.apply(upstream.HeadReceived{Endpoint: end, Head: call.AnswerHead{Backoff: time.Hour}})
		}, false},
		"rate limit unknown to the scheduler": {func(hos *Host, _ *snapshot, _ *peer.ForwardRequest) {
			hos.notices.apply(upstream.HeadReceived{Endpoint: end, Head: call.AnswerHead{HasRate: true, Rate: 2}})
		}, false},
		"rate limit known to the scheduler": {func(hos *Host, _ *snapshot, req *peer.ForwardRequest) {
			hos.notices.apply(upstream.HeadReceived{Endpoint: end, Head: call.AnswerHead{HasRate: true, Rate: 2}})
			req.Rate = reservation.GrantRateLimited
		}, true},
	}
	tab, err := route.NewTable(route.Configuration{Version: 1, Accounts: []route.Account{{Name: "kitchen", Keys: []string{"key"}}}})
	assert.NilError(t, err)
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			hos := newTestHost(t, io.Discard)
			now := hos.clock.Now()
			hos.bounds.Store(&settings.Bounds{RevokeMilliseconds: 60_000})
			hos.confirm(now)
			snp := &snapshot{table: tab, engines: map[string]fleet.Engine{"e1": {ID: run, Domain: "d1"}}}
			req := peer.ForwardRequest{Key: "key", Header: headerFor("kitchen"), Remaining: time.Minute}
			tst.change(hos, snp, &req)
			hos.snapshot.Store(snp)
			err := (&forwardConn{host: hos, engine: fleet.Engine{ID: run, Domain: "d1"}}).checkBeforeSend(req, now)
			assert.Equal(t, err == nil, tst.sent, "%v", err)
		})
	}
}
