package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/credential"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

func startSecret(t *testing.T, hosts int, bou settings.Bounds) *entrytest.System {
	t.Helper()
	sys := entrytest.Start(t, entrytest.Config{
		Hosts: hosts, StoredSecret: true, Bounds: bou,
		Engines: []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2")},
	})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Until("one host coordinates", func() bool { return coordinator(sys) != nil })
	return sys
}

func ringOf(t *testing.T, sys *entrytest.System) (credential.Ring, store.Revision) {
	t.Helper()
	val, err := sys.Store.Get(t.Context(), platform.RingKey())
	assert.NilError(t, err)
	rin, err := platform.DecodeRing(val)
	assert.NilError(t, err)
	return rin, val.Revision
}

func served(t *testing.T, sys *entrytest.System, id string) {
	t.Helper()
	for idx, hos := range sys.Hosts {
		ans := sys.Send(t.Context(), hos, entrytest.Request{ID: fmt.Sprint(id, idx), Path: "/safe/x"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// Hosts that start together agree on one secret, whoever makes it, and serve.
func TestHostsMakeOneSecret(t *testing.T) {
	sys := startSecret(t, 4, settings.Bounds{})
	served(t, sys, "r")
	assert.Equal(t, strings.Count(sys.Log(), "secrets written"), 1)
	rin, _ := ringOf(t, sys)
	assert.Equal(t, strings.Contains(sys.Log(), string(rin.Current)), false)
}

// Whoever doesn't have the secret can't open a session with a host nor read the store
// through it, and is counted: one with a key of its own, one with another secret, and one
// that shows none.
func TestStrangerIsRefusedByHosts(t *testing.T) {
	sys := startSecret(t, 2, settings.Bounds{})
	other, err := credential.NewRing(time.Now())
	assert.NilError(t, err)
	kee := credential.NewKeeper(credential.Config{})
	assert.NilError(t, kee.Take(other))
	bare := kee.TLS()
	bare.GetClientCertificate, bare.VerifyConnection = nil, nil
	believing := kee.TLS()
	believing.VerifyConnection = nil
	for name, sec := range map[string]peer.Security{
		"the key that deployments once had": {Key: "lynxwell hosts of one deployment"}, "another secret": {TLS: kee.TLS()},
		"another secret, believing anybody": {TLS: believing}, "no certificate": {TLS: bare},
	} {
		t.Run(name, func(t *testing.T) {
			cli := peer.NewClient(peer.ClientConfig{Security: sec, Self: func() peer.Header { return peer.Header{Epoch: 1} }})
			t.Cleanup(cli.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := cli.Follow(ctx, sys.Hosts[0].Settings.PeerAddress, 0, time.Millisecond)
			assert.Assert(t, err != nil, "a stranger has read the store")
		})
	}
	sys.Until("strangers are counted", func() bool {
		figures := sys.Figures(sys.Hosts[0])
		return strings.Contains(figures, "PeersRefused ") && !strings.Contains(figures, "PeersRefused 0\n")
	})
	served(t, sys, "r")
}

// The secret is renewed again and again while a host that doesn't decide loses the store, and hosts that start
// then know the newest: no session is refused and every request served.
func TestSecretIsRenewedWithoutAGap(t *testing.T) {
	sys := startSecret(t, 3, settings.Bounds{RenewSecretSeconds: 0.6})
	first, _ := ringOf(t, sys)
	for round := range 4 {
		_, before := ringOf(t, sys)
		var decides *entrytest.Host
		sys.Until("one host coordinates", func() bool { decides = coordinator(sys); return decides != nil })
		cut := without(sys.Hosts, decides)[round%2]
		cut.CutStore(true)
		sys.Until("the next step", func() bool {
			served(t, sys, fmt.Sprint("r", round, time.Now().UnixNano(), "-"))
			_, now := ringOf(t, sys)
			return now > before
		})
		cut.CutStore(false)
	}
	rin, _ := ringOf(t, sys)
	assert.Assert(t, string(rin.Current) != string(first.Current))
	sys.StartHosts(entrytest.Config{Hosts: 1, StoredSecret: true, Bounds: settings.Bounds{RenewSecretSeconds: 0.6}})
	served(t, sys, "last")
	for _, hos := range sys.Hosts {
		assert.Assert(t, strings.Contains(sys.Figures(hos), "PeersRefused 0\n"))
	}
}

// A secret that is taken out of the store, or overwritten, is put there again by the host
// that decides; hosts live on what they know meanwhile, also while the store is away.
func TestSecretThatIsLostIsPutBack(t *testing.T) {
	sys := startSecret(t, 2, settings.Bounds{RenewSecretSeconds: 2})
	rin, _ := ringOf(t, sys)
	for _, wri := range []store.Write{
		{Key: platform.RingKey(), Delete: true, Blind: true},
		{Key: platform.RingKey(), Data: []byte("{"), Blind: true},
		{Key: platform.RingKey(), Data: []byte(`{"Current":"c2hvcnQ="}`), Blind: true},
	} {
		_, err := sys.Store.Put(t.Context(), wri)
		assert.NilError(t, err)
		sys.Store.SetFaults(platformtest.Faults{Down: true})
		served(t, sys, "away")
		sys.Store.SetFaults(platformtest.Faults{})
		sys.Until("the secret is back", func() bool {
			val, err := sys.Store.Get(t.Context(), platform.RingKey())
			assert.NilError(t, err)
			back, err := platform.DecodeRing(val)
			return err == nil && (string(back.Current) == string(rin.Current) || string(back.Former) == string(rin.Current))
		})
	}
}
