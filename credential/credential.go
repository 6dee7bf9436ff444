// Package credential authenticates the hosts of a deployment to one another by a shared
// secret. Each side proves in the TLS handshake that it has the secret, without sending it.
//
// # Usage
//
//	rin, err := credential.NewKeyRing(now) // once, by the first host; stored where all hosts read it
//	aut := credential.NewAuthenticator(credential.Config{Refused: func(err error) { ... }})
//	err = aut.SetKeyRing(rin)
//	cfg := aut.TLS() // for clients and servers
//	next, due, err := rin.Rotation(now, every)
//
// A secret is rotated in two steps, so that hosts with adjacent versions of the key ring can
// always connect: hosts accept the next secret some minutes before any host uses it, and
// accept the previous one until the following secret comes into use.
package credential

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// secretBytes is the length of a secret. It equals the length of the seed of the key
// that is derived from it.
const secretBytes = 32

// Secret is a secret shared by all hosts. It is encoded as base64 in JSON.
type Secret []byte

// NewSecret returns a random secret of 32 bytes.
func NewSecret() (Secret, error) {
	sec := make(Secret, secretBytes)
	_, err := rand.Read(sec)
	return sec, errors.Wrap(err, "generate secret")
}

// KeyRing holds the secrets of a deployment in their stored form.
type KeyRing struct {
	// Current is the secret by which hosts authenticate themselves.
	Current Secret
	// Next and Former are the secrets after and before Current. Hosts accept peers with
	// either of them. Each may be empty.
	Next   Secret `json:",omitempty"`
	Former Secret `json:",omitempty"`
	// Changed is the time of the last change, by the clock of the host that made it.
	Changed time.Time
}

// NewKeyRing returns a key ring with one new secret.
func NewKeyRing(now time.Time) (KeyRing, error) {
	sec, err := NewSecret()
	return KeyRing{Current: sec, Changed: now}, err
}

// FieldError reports an invalid field of a key ring.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (fer *FieldError) Error() string {
	return "key ring: " + fer.Field + ": " + fer.Reason
}

// Check returns a *FieldError for an invalid field, or nil if all fields are valid.
func (rin KeyRing) Check() error {
	if len(rin.Current) != secretBytes {
		return &FieldError{Field: "Current", Reason: "want 32 bytes"}
	}
	for field, sec := range map[string]Secret{"Next": rin.Next, "Former": rin.Former} {
		if len(sec) != 0 && len(sec) != secretBytes {
			return &FieldError{Field: field, Reason: "want 32 bytes or none"}
		}
	}
	return nil
}

func (rin KeyRing) equal(other KeyRing) bool {
	return bytes.Equal(rin.Current, other.Current) && bytes.Equal(rin.Next, other.Next) && bytes.Equal(rin.Former, other.Former) &&
		rin.Changed.Equal(other.Changed)
}

// activationDelay is how long the next secret is accepted before it becomes the current
// one. A change reaches every host within seconds if the host can connect to the store or to
// another host. The delay lets a host that was partitioned for some minutes receive the secret
// before others start to use it.
const activationDelay = 5 * time.Minute

// Rotation returns the key ring after the next step of its rotation, and whether that step
// is due. A next secret is added once the time since the last change reaches the interval
// every. It becomes the current one 5 minutes later, or one interval later if the interval is
// shorter.
func (rin KeyRing) Rotation(now time.Time, every time.Duration) (KeyRing, bool, error) {
	age := now.Sub(rin.Changed)
	switch {
	case len(rin.Next) > 0 && age >= min(activationDelay, every):
		return KeyRing{Current: rin.Next, Former: rin.Current, Changed: now}, true, nil
	case len(rin.Next) == 0 && age >= every:
		next, err := NewSecret()
		return KeyRing{Current: rin.Current, Next: next, Former: rin.Former, Changed: now}, err == nil, err
	default:
		return KeyRing{}, false, nil
	}
}

// identity is the key pair that is derived from a secret, with its certificate.
type identity struct {
	public      ed25519.PublicKey
	certificate tls.Certificate
}

// keyPurpose is the context of the key derivation, so that keys derived from the same secret
// for other purposes differ from these keys.
const keyPurpose = "lynxwell hosts"

func newIdentity(sec Secret) (identity, error) {
	seed, err := hkdf.Key(sha256.New, sec, nil, keyPurpose, ed25519.SeedSize)
	if err != nil {
		return identity{}, errors.Wrap(err, "derive key")
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, _ := private.Public().(ed25519.PublicKey)
	// The certificate only carries the public key. Its names and times aren't verified.
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: keyPurpose}, NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0)}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return identity{}, errors.Wrap(err, "create certificate")
	}
	return identity{public: public, certificate: tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}}, nil
}

// keySet is a key ring with the keys that are derived from its secrets.
type keySet struct {
	ring     KeyRing
	own      identity
	accepted []ed25519.PublicKey
}

// Config configures an Authenticator.
type Config struct {
	// Refused is called with the error of each handshake in which the peer was rejected: a
	// *UnauthenticatedError, or a *NoKeyRingError. It may be nil.
	Refused func(err error)
}

// Authenticator checks peers against the secrets of a key ring. It is safe for concurrent use.
type Authenticator struct {
	cfg  Config
	keys atomic.Pointer[keySet]
}

// NewAuthenticator returns an Authenticator without a key ring, which rejects every peer until
// SetKeyRing is called.
func NewAuthenticator(cfg Config) *Authenticator {
	return &Authenticator{cfg: cfg}
}

// SetKeyRing replaces the key ring. The new one applies to connections that are opened
// afterwards; open connections stay. It returns a *FieldError for an invalid key ring.
func (aut *Authenticator) SetKeyRing(rin KeyRing) error {
	if err := rin.Check(); err != nil {
		return err
	}
	if old, found := aut.KeyRing(); found && old.equal(rin) {
		// Each full snapshot of the store contains the key ring again, and deriving a key
		// takes 0.1 ms.
		return nil
	}
	kst := &keySet{ring: rin}
	for _, sec := range []Secret{rin.Current, rin.Next, rin.Former} {
		if len(sec) == 0 {
			continue
		}
		idt, err := newIdentity(sec)
		if err != nil {
			return err
		}
		if kst.own.public == nil {
			kst.own = idt
		}
		kst.accepted = append(kst.accepted, idt.public)
	}
	aut.keys.Store(kst)
	return nil
}

// KeyRing returns the key ring in use; false if there is none yet.
func (aut *Authenticator) KeyRing() (KeyRing, bool) {
	kst := aut.keys.Load()
	if kst == nil {
		return KeyRing{}, false
	}
	return kst.ring, true
}

// NoKeyRingError reports that this host has no key ring yet.
type NoKeyRingError struct{}

// Error implements error.
func (*NoKeyRingError) Error() string { return "no key ring has been loaded yet" }

// UnauthenticatedError reports a peer that did not authenticate itself with a secret of the
// key ring.
type UnauthenticatedError struct {
	// Reason is why the peer's certificate was rejected.
	Reason string
}

// Error implements error.
func (uer *UnauthenticatedError) Error() string { return "unauthenticated peer: " + uer.Reason }

// TLS returns the TLS configuration for clients and servers. By BenchmarkHandshake, a
// handshake takes 0.4 ms of processor time on each side. A host opens a few connections a
// minute, and the leader of 300 hosts accepts 300 when all of them start.
func (aut *Authenticator) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// X25519 alone: the hybrid post-quantum key exchange doubles the handshake time.
		CurvePreferences: []tls.CurveID{tls.X25519},
		NextProtos:       []string{"h2"},
		// Certificates aren't bound to addresses. Instead, VerifyConnection checks the peer's
		// public key on both sides.
		InsecureSkipVerify:     true, //nolint:gosec // VerifyConnection checks the peer's key.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return aut.certificate() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return aut.certificate() },
		VerifyConnection:       aut.verify,
	}
}

func (aut *Authenticator) certificate() (*tls.Certificate, error) {
	kst := aut.keys.Load()
	if kst == nil {
		return nil, &NoKeyRingError{}
	}
	return &kst.own.certificate, nil
}

// verify accepts a peer whose public key is derived from one of the key ring's secrets. The
// handshake itself proves that the peer has the private key.
func (aut *Authenticator) verify(sta tls.ConnectionState) error {
	err := aut.checkPeer(sta)
	if err != nil && aut.cfg.Refused != nil {
		aut.cfg.Refused(err)
	}
	return err
}

func (aut *Authenticator) checkPeer(sta tls.ConnectionState) error {
	kst := aut.keys.Load()
	if kst == nil {
		return &NoKeyRingError{}
	}
	if len(sta.PeerCertificates) == 0 {
		return &UnauthenticatedError{Reason: "no certificate"}
	}
	public, isKey := sta.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !isKey {
		return &UnauthenticatedError{Reason: "certificate without an Ed25519 key"}
	}
	for _, accepted := range kst.accepted {
		if accepted.Equal(public) {
			return nil
		}
	}
	return &UnauthenticatedError{Reason: "key isn't derived from a secret of the key ring"}
}
