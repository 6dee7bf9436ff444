package credential_test

import (
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/credential"
)

var start = time.Unix(5000, 0)

func newRing(t testing.TB) credential.Ring {
	t.Helper()
	rin, err := credential.NewRing(start)
	assert.NilError(t, err)
	return rin
}

func newAuthenticator(t testing.TB, rin credential.Ring) *credential.Keeper {
	t.Helper()
	kee := credential.NewKeeper(credential.Config{})
	assert.NilError(t, kee.Take(rin))
	return kee
}

// meet opens a connection between two hosts and returns both sides' errors.
func handshake(t testing.TB, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	one, two := net.Pipe()
	defer one.Close()
	defer two.Close()
	assert.NilError(t, one.SetDeadline(time.Now().Add(5*time.Second)))
	assert.NilError(t, two.SetDeadline(time.Now().Add(5*time.Second)))
	ended := make(chan error, 1)
	go func() {
		con := tls.Server(two, server)
		err := con.HandshakeContext(t.Context())
		if err == nil {
			_, err = con.Write([]byte("x"))
		}
		_ = two.Close()
		ended <- err
	}()
	con := tls.Client(one, client)
	clientErr = con.HandshakeContext(t.Context())
	if clientErr == nil {
		var buf [1]byte
		_, clientErr = io.ReadFull(con, buf[:])
	}
	_ = one.Close()
	return clientErr, <-ended
}

// Two hosts meet if each shows a secret that the other accepts, in every step of a
// renewal and beside hosts that have missed one.
func TestHostsAuthenticateDuringRenewal(t *testing.T) {
	first := newRing(t)
	_, due, err := first.Renewal(start.Add(time.Minute), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, !due)
	second, due, err := first.Renewal(start.Add(time.Hour), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, due)
	assert.DeepEqual(t, second.Current, first.Current)
	_, due, err = second.Renewal(start.Add(time.Hour+time.Minute), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, !due, "before all know it")
	third, due, err := second.Renewal(start.Add(2*time.Hour), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, due)
	assert.DeepEqual(t, third.Current, second.Next)
	rings := map[string]credential.Ring{"first": first, "second": second, "third": third}
	for _, tst := range []struct {
		one, two string
		meets    bool
	}{
		{"first", "first", true},
		{"first", "second", true},
		{"second", "third", true},
		{"third", "third", true},
		{"first", "third", false},
	} {
		for _, pair := range [][2]string{{tst.one, tst.two}, {tst.two, tst.one}} {
			client, server := handshake(t, newAuthenticator(t, rings[pair[0]]).TLS(), newAuthenticator(t, rings[pair[1]]).TLS())
			assert.Equal(t, client == nil && server == nil, tst.meets, "%v: %v, %v", pair, client, server)
		}
	}
}

// A stranger is refused whatever it shows, by servers and by clients, and told of.
func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	ring := newRing(t)
	var refused []error
	kee := credential.NewKeeper(credential.Config{Refused: func(err error) { refused = append(refused, err) }})
	assert.NilError(t, kee.Take(ring))
	other := newAuthenticator(t, newRing(t)).TLS()
	_, err := handshake(t, other, kee.TLS())
	assert.Assert(t, err != nil)
	noCertificate := other.Clone()
	noCertificate.GetClientCertificate = nil
	noCertificate.VerifyConnection = nil
	_, err = handshake(t, noCertificate, kee.TLS())
	assert.Assert(t, err != nil)
	believes := other.Clone()
	believes.VerifyConnection = nil
	_, err = handshake(t, believes, kee.TLS())
	assert.Assert(t, err != nil, "one that accepts anybody is let in by nobody")
	err, _ = handshake(t, kee.TLS(), believes)
	assert.Assert(t, err != nil, "a server of another secret")
	var stranger *credential.StrangerError
	assert.Assert(t, len(refused) >= 3)
	for _, err := range refused {
		assert.Assert(t, errors.As(err, &stranger), "%v", err)
	}
}

// Before the secret is known nobody is let in.
func TestHostWithoutSecretRejectsAllPeers(t *testing.T) {
	unknowing := credential.NewKeeper(credential.Config{})
	client, server := handshake(t, newAuthenticator(t, newRing(t)).TLS(), unknowing.TLS())
	assert.Assert(t, client != nil && server != nil)
	_, knows := unknowing.Ring()
	assert.Assert(t, !knows)
}

func TestInvalidKeyRingNamesField(t *testing.T) {
	good := newRing(t)
	data, err := json.Marshal(good)
	assert.NilError(t, err)
	var read credential.Ring
	assert.NilError(t, json.Unmarshal(data, &read))
	assert.DeepEqual(t, read.Current, good.Current)
	for field, rin := range map[string]credential.Ring{
		"Current": {}, "Next": {Current: good.Current, Next: []byte("short")}, "Former": {Current: good.Current, Former: make([]byte, 33)},
	} {
		var fer *credential.FieldError
		assert.Assert(t, errors.As(credential.NewKeeper(credential.Config{}).Take(rin), &fer))
		assert.Equal(t, fer.Field, field)
	}
}

func FuzzRing(f *testing.F) {
	f.Add([]byte(`{"Current":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var rin credential.Ring
		if json.Unmarshal(data, &rin) != nil {
			return
		}
		if (credential.NewKeeper(credential.Config{}).Take(rin) == nil) != (rin.Check() == nil) {
			t.Fatalf("%+v", rin)
		}
	})
}

// What both sides of a handshake cost together.
func BenchmarkHandshake(b *testing.B) {
	cfg := newAuthenticator(b, newRing(b)).TLS()
	for b.Loop() {
		if client, server := handshake(b, cfg, cfg); client != nil || server != nil {
			b.Fatal(client, server)
		}
	}
}
