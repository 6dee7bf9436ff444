package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
)

// recoveryTime is the users' recovery_s: the time after which hosts that have returned serve again.
const recoveryTime = 12 * time.Second

// ownShares returns the shares of the limits that belong to hosts, as they know.
func ownShares(hosts []*entrytest.Host) float64 {
	total := 0.0
	for _, hos := range hosts {
		total += hos.Dump().Limits.Own
	}
	return total
}

// Guards against a share that nobody spends (a day with the store away in a rolling restart was 0.13 lower): a host that
// can't hand its share over goes on lending it.
func TestShareIsLentWhileItCanNotBeHandedOver(t *testing.T) {
	t.Parallel()
	sys := startWith(t, entrytest.Config{Hosts: 2, Engines: twoOfEach(), Bounds: settings.Bounds{RevocationIsStrict: settings.ToggleOff}})
	hos := sys.Hosts[0]
	drained := make(chan error, 1)
	go func() { drained <- hos.Drain(t.Context()) }()
	sys.WaitUntil("the host is deregistered", func() bool { return sys.Store.Peek(platform.MemberKey(hos.Settings.Name)).Revision == 0 })
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	assert.NilError(t, <-drained)
	assert.Assert(t, !strings.Contains(sys.Log(), "handing the share of the limits over"))
}

// Guards against hosts that serve no limited account when all others have gone for good (review/4, RECOVER): their shares
// belonged to the others for 32 s, or for 8 s after a planned stop and 32 s more.
func TestHostsThatReplaceAllOthersServeLimitedAccounts(t *testing.T) {
	for _, tst := range []struct {
		name    string
		stop    func(t *testing.T, sys *entrytest.System, hos *entrytest.Host)
		newLate bool
		limit   time.Duration
	}{
		{"killed", func(_ *testing.T, sys *entrytest.System, hos *entrytest.Host) {
			hos.Stop()
			// Hosts that have just started have long leases.
			sys.RemoveHost(hos.Settings.Name)
		}, true, recoveryTime},
		{"stopped", func(t *testing.T, _ *entrytest.System, hos *entrytest.Host) {
			t.Helper()
			assert.NilError(t, hos.Drain(t.Context()))
			hos.Stop()
		}, false, time.Second},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			cfg := entrytest.Config{Hosts: 3, Engines: twoOfEach(), Bounds: settings.Bounds{LimitSlack: 1}}
			sys := entrytest.Start(t, cfg)
			sys.Configure(entrytest.Configuration{Version: 1, Rate: 1000, Burst: 1000})
			sys.WaitForReady()
			former := sys.Hosts
			join := func() {
				for range 2 {
					sys.AddHost(cfg)
				}
			}
			if !tst.newLate {
				join()
				sys.WaitForReady()
			}
			for _, hos := range former {
				tst.stop(t, sys, hos)
			}
			if tst.newLate {
				join()
			}
			joined := sys.Hosts[len(former):]
			since := time.Now()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if ownShares(joined) > 0.9 {
					return poll.Success()
				}
				return poll.Continue("the hosts have %f of the limits", ownShares(joined))
			}, poll.WithTimeout(tst.limit), poll.WithDelay(20*time.Millisecond))
			t.Logf("the shares moved in %s", time.Since(since))
			sys.WaitUntil("a limited account is served", func() bool {
				return sys.Send(t.Context(), joined[0], entrytest.Request{ID: "r", Path: "/safe/", Header: map[string]string{"Token-Counts": "1,1"}}).Status == http.StatusOK
			})
		})
	}
}

// A handover that the store does late doesn't take the share of the host's next process, which is registered by then.
func TestHandOverLeavesShareOfNextProcess(t *testing.T) {
	t.Parallel()
	sys := start(t, 2, twoOfEach())
	hos := sys.Hosts[0]
	key := platform.MemberKey(hos.Settings.Name)
	entry := sys.Store.Peek(key)
	drained := make(chan error, 1)
	go func() { drained <- hos.Drain(t.Context()) }()
	sys.WaitUntil("the host waits for the end of the loan", func() bool { return strings.Contains(sys.Log(), "handing the share of the limits over") })
	assert.NilError(t, sys.Store.Write(store.Write{Key: key, Data: entry.Data, Blind: true}))
	// It tries until a second after it has drained.
	assert.NilError(t, <-drained)
	led, err := platform.DecodeLimitShares(sys.Store.Peek(platform.LimitSharesKey()))
	assert.NilError(t, err)
	assert.Equal(t, led.Of(hos.Settings.Name), limitshare.Whole/2)
}
