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

func startWithStoredSecret(t *testing.T, hosts int, bou settings.Bounds) *entrytest.System {
	t.Helper()
	sys := entrytest.Start(t, entrytest.Config{
		Hosts: hosts, StoredSecret: true, Bounds: bou,
		Engines: []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2")},
	})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitUntil("one host coordinates", func() bool { return coordinator(sys) != nil })
	return sys
}

func storedKeyRing(t *testing.T, sys *entrytest.System) (credential.KeyRing, store.Revision) {
	t.Helper()
	val, err := sys.Store.Get(t.Context(), platform.KeyRingKey())
	assert.NilError(t, err)
	rin, err := platform.DecodeKeyRing(val)
	assert.NilError(t, err)
	return rin, val.Revision
}

func checkServed(t *testing.T, sys *entrytest.System, id string) {
	t.Helper()
	for idx, hos := range sys.Hosts {
		ans := sys.Send(t.Context(), hos, entrytest.Request{ID: fmt.Sprint(id, idx), Path: "/safe/x"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// Hosts that start together agree on one secret, whichever of them creates it, and serve requests.
func TestHostsAgreeOnOneSecret(t *testing.T) {
	sys := startWithStoredSecret(t, 4, settings.Bounds{})
	checkServed(t, sys, "r")
	assert.Equal(t, strings.Count(sys.Log(), "secrets written"), 1)
	rin, _ := storedKeyRing(t, sys)
	assert.Equal(t, strings.Contains(sys.Log(), string(rin.Current)), false)
}

// A peer without the hosts' secret can't read the store through a host, and is counted. The peer has
// a fixed key, another secret with or without verification of the host, or no certificate.
func TestUnauthenticatedPeerIsRefused(t *testing.T) {
	sys := startWithStoredSecret(t, 2, settings.Bounds{})
	other, err := credential.NewKeyRing(time.Now())
	assert.NilError(t, err)
	aut := credential.NewAuthenticator(credential.Config{})
	assert.NilError(t, aut.SetKeyRing(other))
	anonymous := aut.TLS()
	anonymous.GetClientCertificate, anonymous.VerifyConnection = nil, nil
	unverified := aut.TLS()
	unverified.VerifyConnection = nil
	for name, sec := range map[string]peer.Security{
		"the former built-in key": {Key: "lynxwell hosts of one deployment"}, "another secret": {TLS: aut.TLS()},
		"another secret, without verification": {TLS: unverified}, "no certificate": {TLS: anonymous},
	} {
		t.Run(name, func(t *testing.T) {
			cli := peer.NewClient(peer.ClientConfig{Security: sec, Self: func() peer.Header { return peer.Header{Epoch: 1} }})
			t.Cleanup(cli.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := cli.Follow(ctx, sys.Hosts[0].Settings.PeerAddress, peer.MirrorQuery{Wait: time.Millisecond})
			assert.Assert(t, err != nil, "an unauthenticated peer has read the store")
		})
	}
	sys.WaitUntil("unauthenticated peers are counted", func() bool {
		metrics := sys.Metrics(sys.Hosts[0])
		return strings.Contains(metrics, "PeersRefused ") && !strings.Contains(metrics, "PeersRefused 0\n")
	})
	checkServed(t, sys, "r")
}

// The secret is rotated several times, each time while a host other than the coordinator is cut off
// from the store. A host that starts later reads the newest secret. No peer is refused and every
// request is served.
func TestSecretRotationRefusesNoPeersOrRequests(t *testing.T) {
	sys := startWithStoredSecret(t, 3, settings.Bounds{RenewSecretSeconds: 0.6})
	first, _ := storedKeyRing(t, sys)
	for round := range 4 {
		_, before := storedKeyRing(t, sys)
		var coord *entrytest.Host
		sys.WaitUntil("one host coordinates", func() bool { coord = coordinator(sys); return coord != nil })
		cut := hostsWithout(sys.Hosts, coord)[round%2]
		cut.SetStoreCut(true)
		sys.WaitUntil("the next rotation step is stored", func() bool {
			checkServed(t, sys, fmt.Sprint("r", round, time.Now().UnixNano(), "-"))
			_, now := storedKeyRing(t, sys)
			return now > before
		})
		cut.SetStoreCut(false)
	}
	rin, _ := storedKeyRing(t, sys)
	assert.Assert(t, string(rin.Current) != string(first.Current))
	sys.StartHosts(entrytest.Config{Hosts: 1, StoredSecret: true, Bounds: settings.Bounds{RenewSecretSeconds: 0.6}})
	checkServed(t, sys, "last")
	for _, hos := range sys.Hosts {
		assert.Assert(t, strings.Contains(sys.Metrics(hos), "PeersRefused 0\n"))
	}
}

// The coordinator restores a secret that is deleted from the store or overwritten. Until then hosts
// use the secrets that they have read, also while the store is down.
func TestLostSecretIsRestored(t *testing.T) {
	sys := startWithStoredSecret(t, 2, settings.Bounds{RenewSecretSeconds: 2})
	rin, _ := storedKeyRing(t, sys)
	for _, wri := range []store.Write{
		{Key: platform.KeyRingKey(), Delete: true, Blind: true},
		{Key: platform.KeyRingKey(), Data: []byte("{"), Blind: true},
		{Key: platform.KeyRingKey(), Data: []byte(`{"Current":"c2hvcnQ="}`), Blind: true},
	} {
		_, err := sys.Store.Put(t.Context(), wri)
		assert.NilError(t, err)
		sys.Store.SetFaults(platformtest.Faults{Down: true})
		checkServed(t, sys, "outage")
		sys.Store.SetFaults(platformtest.Faults{})
		sys.WaitUntil("the secret is restored", func() bool {
			val, err := sys.Store.Get(t.Context(), platform.KeyRingKey())
			assert.NilError(t, err)
			restored, err := platform.DecodeKeyRing(val)
			return err == nil && (string(restored.Current) == string(rin.Current) || string(restored.Former) == string(rin.Current))
		})
	}
}
