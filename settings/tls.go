package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/format"
)

// TLSFiles are the PEM files of one side of mutual TLS.
type TLSFiles struct {
	// CertificateFile and KeyFile are the host's own; the certificate must name
	// the IP address of the host's PeerAddress.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that sign the other hosts'.
	AuthorityFile string
}

// Config returns the configuration of both ends: each shows its certificate
// and checks the other's. Without files it returns nil.
func (til *TLSFiles) Config() (*tls.Config, error) {
	if til == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(til.CertificateFile, til.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "CertificateFile, KeyFile")
	}
	pem, err := os.ReadFile(til.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "AuthorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("AuthorityFile: no certificate in it")
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
