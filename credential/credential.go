// Package credential has the hosts of a deployment know one another by a secret that
// they share: each proves that it has it by the handshake of TLS, both ways, and never
// sends it.
//
// # Usage
//
//	rin, err := credential.NewRing(now) // by the first host, kept where all hosts read it
//	kee := credential.NewKeeper(credential.Config{Refused: func(err error) { ... }})
//	err = kee.Take(rin)
//	cfg := kee.TLS() // for clients and servers
//	next, due, err := rin.Renewal(now, every)
//
// A secret is renewed in two steps, so that there is no gap: the next one is accepted by
// all hosts before any shows it, and the former one is accepted for as long as it takes
// until the next renewal.
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

// secretBytes is the length of a secret: as long as the keys made from it.
const secretBytes = 32

// Secret is what the hosts share. Its text is base64 in JSON.
type Secret []byte

// NewSecret returns a secret at random.
func NewSecret() (Secret, error) {
	sec := make(Secret, secretBytes)
	_, err := rand.Read(sec)
	return sec, errors.Wrap(err, "make secret")
}

// Ring is what is kept of the secrets of a deployment.
type Ring struct {
	// Current is what hosts show one another.
	Current Secret
	// Next is accepted already, and Former still; both may be empty.
	Next   Secret `json:",omitempty"`
	Former Secret `json:",omitempty"`
	// Changed is when the ring was last changed, by the clock of the host that did.
	Changed time.Time
}

// NewRing returns a ring of one secret.
func NewRing(now time.Time) (Ring, error) {
	sec, err := NewSecret()
	return Ring{Current: sec, Changed: now}, err
}

// FieldError reports a ring that can't be used.
type FieldError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (fer *FieldError) Error() string {
	return "ring of secrets: " + fer.Field + ": " + fer.Reason
}

// Check returns a *FieldError that names the first field that can't be used.
func (rin Ring) Check() error {
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

func (rin Ring) equal(other Ring) bool {
	return bytes.Equal(rin.Current, other.Current) && bytes.Equal(rin.Next, other.Next) && bytes.Equal(rin.Former, other.Former) &&
		rin.Changed.Equal(other.Changed)
}

// activationDelay is for how long a next secret is accepted before it is shown: changes reach
// every host that reaches the store or another host within seconds, and one that was cut
// off for minutes still knows the next one.
const activationDelay = 5 * time.Minute

// Renewal returns the ring's next step if it is due: a next secret after the given time,
// which is shown some minutes later.
func (rin Ring) Renewal(now time.Time, every time.Duration) (Ring, bool, error) {
	age := now.Sub(rin.Changed)
	switch {
	case len(rin.Next) > 0 && age >= min(activationDelay, every):
		return Ring{Current: rin.Next, Former: rin.Current, Changed: now}, true, nil
	case len(rin.Next) == 0 && age >= every:
		next, err := NewSecret()
		return Ring{Current: rin.Current, Next: next, Former: rin.Former, Changed: now}, err == nil, err
	default:
		return Ring{}, false, nil
	}
}

// identity is the key pair that is made from a secret, with its certificate.
type identity struct {
	public      ed25519.PublicKey
	certificate tls.Certificate
}

// purpose keeps keys made from the same secret for other ends apart.
const keyPurpose = "lynxwell hosts"

func newIdentity(sec Secret) (identity, error) {
	seed, err := hkdf.Key(sha256.New, sec, nil, keyPurpose, ed25519.SeedSize)
	if err != nil {
		return identity{}, errors.Wrap(err, "derive key")
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, _ := private.Public().(ed25519.PublicKey)
	// The certificate only carries the key: its names and times are never looked at.
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: keyPurpose}, NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0)}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return identity{}, errors.Wrap(err, "make certificate")
	}
	return identity{public: public, certificate: tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}}, nil
}

// known is a ring with the identities made from it.
type keySet struct {
	ring     Ring
	own      identity
	accepted []ed25519.PublicKey
}

// Config holds what a Keeper is made from.
type Config struct {
	// Refused is told of each host that didn't prove to have a secret of the ring; nil for
	// nobody.
	Refused func(err error)
}

// Keeper holds the ring that is in force. It may be used by several goroutines.
type Keeper struct {
	cfg  Config
	keys atomic.Pointer[keySet]
}

// NewKeeper returns a keeper that knows no secret yet, and accepts nobody.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg}
}

// Take puts a ring in force for connections that are opened from now on.
func (kee *Keeper) Take(rin Ring) error {
	if err := rin.Check(); err != nil {
		return err
	}
	if former, known := kee.Ring(); known && former.equal(rin) {
		// Each whole reading of the store brings it again; keys cost 0.1 ms each to make.
		return nil
	}
	kno := &keySet{ring: rin}
	for _, sec := range []Secret{rin.Current, rin.Next, rin.Former} {
		if len(sec) == 0 {
			continue
		}
		idt, err := newIdentity(sec)
		if err != nil {
			return err
		}
		if kno.own.public == nil {
			kno.own = idt
		}
		kno.accepted = append(kno.accepted, idt.public)
	}
	kee.keys.Store(kno)
	return nil
}

// Ring returns the ring in force; false for none.
func (kee *Keeper) Ring() (Ring, bool) {
	kno := kee.keys.Load()
	if kno == nil {
		return Ring{}, false
	}
	return kno.ring, true
}

// UnknownError reports that this host knows no secret yet.
type UnknownError struct{}

// Error says so.
func (*UnknownError) Error() string { return "the secret of the deployment isn't known yet" }

// StrangerError reports a host that doesn't have the deployment's secret.
type StrangerError struct {
	// Reason says what it showed.
	Reason string
}

// Error names what was shown.
func (ser *StrangerError) Error() string { return "not a host of this deployment: " + ser.Reason }

// TLS returns the configuration for clients and servers. Handshakes cost 0.4 ms of a
// usual core on each side, by BenchmarkHandshake; a host opens a few a minute, and one
// that decides for 300 hosts as many when all of them start.
func (kee *Keeper) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// One exchange of keys; the larger hybrid one doubles the time of a handshake.
		CurvePreferences: []tls.CurveID{tls.X25519},
		NextProtos:       []string{"h2"},
		// Addresses tell nothing; verify compares the keys, both ways.
		InsecureSkipVerify:     true, //nolint:gosec // VerifyConnection checks the other side's key.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return kee.certificate() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return kee.certificate() },
		VerifyConnection:       kee.verify,
	}
}

func (kee *Keeper) certificate() (*tls.Certificate, error) {
	kno := kee.keys.Load()
	if kno == nil {
		return nil, &UnknownError{}
	}
	return &kno.own.certificate, nil
}

// verify accepts a host whose key is made from one of the ring's secrets. That it has the
// private one is proved by the handshake.
func (kee *Keeper) verify(sta tls.ConnectionState) error {
	err := kee.checkPeer(sta)
	if err != nil && kee.cfg.Refused != nil {
		kee.cfg.Refused(err)
	}
	return err
}

func (kee *Keeper) checkPeer(sta tls.ConnectionState) error {
	kno := kee.keys.Load()
	if kno == nil {
		return &UnknownError{}
	}
	if len(sta.PeerCertificates) == 0 {
		return &StrangerError{Reason: "no certificate"}
	}
	public, isKey := sta.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !isKey {
		return &StrangerError{Reason: "a key of another kind"}
	}
	for _, accepted := range kno.accepted {
		if accepted.Equal(public) {
			return nil
		}
	}
	return &StrangerError{Reason: "another secret"}
}
