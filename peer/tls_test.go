package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/view"
)

// newAuthority returns a certificate authority, its key and the path of its PEM file.
func newAuthority(t *testing.T) (*x509.Certificate, *ecdsa.PrivateKey, string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	return certificate, private, writePEM(t, "CERTIFICATE", raw)
}

func writePEM(t *testing.T, kind string, raw []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.pem")
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
	return file
}

// newTLSFiles returns a host's PEM files with a certificate signed by the authority.
func newTLSFiles(t *testing.T, authority *x509.Certificate, signer *ecdsa.PrivateKey, authorityFile string) *settings.TLSFiles {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "host"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, authority, &private.PublicKey, signer)
	assert.NilError(t, err)
	rawKey, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)
	return &settings.TLSFiles{
		CertificateFile: writePEM(t, "CERTIFICATE", raw), KeyFile: writePEM(t, "EC PRIVATE KEY", rawKey), AuthorityFile: authorityFile,
	}
}

func newTLSClient(t *testing.T, files *settings.TLSFiles) *peer.Client {
	t.Helper()
	cfg, err := files.Config()
	assert.NilError(t, err)
	cli := peer.NewClient(peer.ClientConfig{Security: peer.Security{TLS: cfg}, Timing: timing, Self: func() peer.Header { return peer.Header{Epoch: 1} }})
	t.Cleanup(cli.Close)
	return cli
}

func TestMutualTLSWithoutPeerKey(t *testing.T) {
	authority, signer, file := newAuthority(t)
	cfg, err := newTLSFiles(t, authority, signer, file).Config()
	assert.NilError(t, err)
	var lcf net.ListenConfig
	lis, err := lcf.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := peer.NewServer(peer.ServerConfig{Backend: newBackend(5), Security: peer.Security{TLS: cfg}, Timing: timing})
	server := srv.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis, server) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	mem := view.Member{Name: "host", Epoch: 5, PeerAddress: netip.MustParseAddrPort(lis.Addr().String())}

	hea, err := newTLSClient(t, newTLSFiles(t, authority, signer, file)).Probe(t.Context(), mem)
	assert.NilError(t, err)
	assert.Equal(t, hea.View, uint64(3))

	other, otherSigner, _ := newAuthority(t)
	_, err = newTLSClient(t, newTLSFiles(t, other, otherSigner, file)).Probe(t.Context(), mem)
	assert.Assert(t, err != nil, "a host with a certificate of another authority was accepted")
	_, err = newClient(t, key).Probe(t.Context(), mem)
	assert.Assert(t, err != nil, "a host without a certificate was accepted")
}
