package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/format"
)

// TLSFiles are the PEM files of one host for mutual TLS.
type TLSFiles struct {
	// CertificateFile and KeyFile hold the host's certificate and its private key. The
	// certificate must name the IP address of the host's PeerAddress.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates of the authorities that sign the hosts' certificates.
	AuthorityFile string
}

// Config returns the TLS configuration for connections between hosts: each side presents its
// certificate and verifies the peer's. It returns nil for a nil receiver.
func (til *TLSFiles) Config() (*tls.Config, error) {
	if til == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(til.CertificateFile, til.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load CertificateFile and KeyFile")
	}
	pem, err := os.ReadFile(til.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read AuthorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("AuthorityFile: want at least one certificate in PEM format, got none")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}

func (til *TLSFiles) check(file string) error {
	if _, err := til.Config(); err != nil {
		return &format.FieldError{File: file, Field: "PeerTLS", Reason: err.Error()}
	}
	return nil
}
