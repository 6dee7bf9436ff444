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

func newKeyRing(t testing.TB) credential.KeyRing {
	t.Helper()
	rin, err := credential.NewKeyRing(start)
	assert.NilError(t, err)
	return rin
}

func newAuthenticator(t testing.TB, rin credential.KeyRing) *credential.Authenticator {
	t.Helper()
	aut := credential.NewAuthenticator(credential.Config{})
	assert.NilError(t, aut.SetKeyRing(rin))
	return aut
}

// handshake performs a TLS handshake over a pipe and returns the errors of both sides.
func handshake(t testing.TB, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	clientEnd, serverEnd := net.Pipe()
	defer clientEnd.Close()
	defer serverEnd.Close()
	assert.NilError(t, clientEnd.SetDeadline(time.Now().Add(5*time.Second)))
	assert.NilError(t, serverEnd.SetDeadline(time.Now().Add(5*time.Second)))
	served := make(chan error, 1)
	go func() {
		con := tls.Server(serverEnd, server)
		err := con.HandshakeContext(t.Context())
		if err == nil {
			_, err = con.Write([]byte("x"))
		}
		_ = serverEnd.Close()
		served <- err
	}()
	con := tls.Client(clientEnd, client)
	clientErr = con.HandshakeContext(t.Context())
	if clientErr == nil {
		var buf [1]byte
		_, clientErr = io.ReadFull(con, buf[:])
	}
	_ = clientEnd.Close()
	return clientErr, <-served
}

// Hosts must be able to connect in every step of a rotation, also to hosts that have missed
// the latest step. A host that has missed both steps must be rejected.
func TestHostsAuthenticateDuringRotation(t *testing.T) {
	first := newKeyRing(t)
	_, due, err := first.Rotation(start.Add(time.Minute), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, !due)
	second, due, err := first.Rotation(start.Add(time.Hour), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, due)
	assert.DeepEqual(t, second.Current, first.Current)
	_, due, err = second.Rotation(start.Add(time.Hour+time.Minute), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, !due, "next secret activated before the activation delay has passed")
	third, due, err := second.Rotation(start.Add(2*time.Hour), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, due)
	assert.DeepEqual(t, third.Current, second.Next)
	rings := map[string]credential.KeyRing{"first": first, "second": second, "third": third}
	for _, tst := range []struct {
		one, two string
		accepted bool
	}{
		{"first", "first", true},
		{"first", "second", true},
		{"second", "third", true},
		{"third", "third", true},
		{"first", "third", false},
	} {
		for _, pair := range [][2]string{{tst.one, tst.two}, {tst.two, tst.one}} {
			clientErr, serverErr := handshake(t, newAuthenticator(t, rings[pair[0]]).TLS(), newAuthenticator(t, rings[pair[1]]).TLS())
			assert.Equal(t, clientErr == nil && serverErr == nil, tst.accepted, "%v: client error %v, server error %v", pair, clientErr, serverErr)
		}
	}
}

// Servers and clients must reject a peer without a secret of the key ring, whatever
// certificate it presents, and report each rejection.
func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	ring := newKeyRing(t)
	var rejected []error
	aut := credential.NewAuthenticator(credential.Config{Refused: func(err error) { rejected = append(rejected, err) }})
	assert.NilError(t, aut.SetKeyRing(ring))
	other := newAuthenticator(t, newKeyRing(t)).TLS()
	_, err := handshake(t, other, aut.TLS())
	assert.Assert(t, err != nil)
	noCertificate := other.Clone()
	noCertificate.GetClientCertificate = nil
	noCertificate.VerifyConnection = nil
	_, err = handshake(t, noCertificate, aut.TLS())
	assert.Assert(t, err != nil)
	trusting := other.Clone()
	trusting.VerifyConnection = nil
	_, err = handshake(t, trusting, aut.TLS())
	assert.Assert(t, err != nil, "a client that accepts every server was accepted itself")
	err, _ = handshake(t, aut.TLS(), trusting)
	assert.Assert(t, err != nil, "a server with another secret was accepted")
	var rejection *credential.UnauthenticatedError
	assert.Assert(t, len(rejected) >= 3)
	for _, err := range rejected {
		assert.Assert(t, errors.As(err, &rejection), "%v", err)
	}
}

// Before a key ring is loaded, every peer must be rejected.
func TestHostWithoutSecretRejectsAllPeers(t *testing.T) {
	empty := credential.NewAuthenticator(credential.Config{})
	clientErr, serverErr := handshake(t, newAuthenticator(t, newKeyRing(t)).TLS(), empty.TLS())
	assert.Assert(t, clientErr != nil && serverErr != nil)
	_, found := empty.KeyRing()
	assert.Assert(t, !found)
}

func TestInvalidKeyRingNamesField(t *testing.T) {
	valid := newKeyRing(t)
	data, err := json.Marshal(valid)
	assert.NilError(t, err)
	var read credential.KeyRing
	assert.NilError(t, json.Unmarshal(data, &read))
	assert.DeepEqual(t, read.Current, valid.Current)
	for field, rin := range map[string]credential.KeyRing{
		"Current": {}, "Next": {Current: valid.Current, Next: []byte("short")}, "Former": {Current: valid.Current, Former: make([]byte, 33)},
	} {
		var fer *credential.FieldError
		assert.Assert(t, errors.As(credential.NewAuthenticator(credential.Config{}).SetKeyRing(rin), &fer))
		assert.Equal(t, fer.Field, field)
	}
}

func FuzzKeyRing(f *testing.F) {
	f.Add([]byte(`{"Current":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var rin credential.KeyRing
		if json.Unmarshal(data, &rin) != nil {
			return
		}
		if (credential.NewAuthenticator(credential.Config{}).SetKeyRing(rin) == nil) != (rin.Check() == nil) {
			t.Fatalf("SetKeyRing and Check disagree on whether the key ring is valid: %+v", rin)
		}
	})
}

// BenchmarkHandshake measures both sides of a handshake together.
func BenchmarkHandshake(b *testing.B) {
	cfg := newAuthenticator(b, newKeyRing(b)).TLS()
	for b.Loop() {
		if clientErr, serverErr := handshake(b, cfg, cfg); clientErr != nil || serverErr != nil {
			b.Fatal(clientErr, serverErr)
		}
	}
}
