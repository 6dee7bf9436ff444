package entry

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/credential"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
)

const (
	// secretJitter is the jitter with which hosts that find no secret generate one: the other hosts
	// read the first one within a tenth of a second, and each attempt costs a call to the store.
	secretJitter = 600 * time.Millisecond
	// secretRetry is the average time after which a host without any secret tries again.
	secretRetry = time.Second
	// secretInterval is how often the coordinator checks whether the secrets are due for rotation,
	// or were removed from the store.
	secretInterval = 10 * time.Second
	// secretTimeout bounds the writing of a key ring.
	secretTimeout = time.Second
	// refusalLogInterval is the least time between two log lines about refused peers: an
	// unauthenticated peer may try as often as it likes.
	refusalLogInterval = time.Second
)

// secrets holds the deployment's secrets, by which its hosts authenticate one another unless their
// settings hold a key.
type secrets struct {
	authenticator *credential.Authenticator
	// known is closed once a secret is known.
	known     chan struct{}
	knownOnce sync.Once

	mutex sync.Mutex
	// revision is the store's revision of the key ring; 0 while there is none. invalid is set while
	// the stored ring is invalid.
	revision store.Revision
	invalid  bool
	// refusalLoggedAt is when a refused peer was last logged; unloggedRefusals counts those refused
	// since.
	refusalLoggedAt  time.Time
	unloggedRefusals int
}

func newSecrets(hos *Host) *secrets {
	sec := &secrets{known: make(chan struct{})}
	sec.authenticator = credential.NewAuthenticator(credential.Config{Refused: func(err error) { hos.recordRefusedPeer(time.Now(), err) }})
	return sec
}

// recordRefusedPeer counts a peer that failed to authenticate as a host of the deployment, and logs
// it at most once every refusalLogInterval.
func (hos *Host) recordRefusedPeer(now time.Time, err error) {
	hos.metrics.refusedPeers.Inc(1)
	sec := hos.secrets
	sec.mutex.Lock()
	defer sec.mutex.Unlock()
	if now.Sub(sec.refusalLoggedAt) < refusalLogInterval {
		sec.unloggedRefusals++
		return
	}
	hos.log.Warn().Err(err).Int("More", sec.unloggedRefusals).Msg("unauthenticated peer refused")
	sec.refusalLoggedAt, sec.unloggedRefusals = now, 0
}

// hasPeerKey reports whether the settings hold a key, which replaces the secrets in the store.
func (hos *Host) hasPeerKey() bool { return hos.set.PeerKey != "" }

// handshakeErrorPrefix is the prefix of the HTTP server's log line about each failed handshake.
var handshakeErrorPrefix = []byte("http: TLS handshake error")

// serverErrorLog writes the error log of the HTTP server for peers to the host's log, except for
// failed handshakes: any unauthenticated peer can cause as many of them as it likes, and a peer
// that presents another secret is reported by the authenticator.
type serverErrorLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (sel serverErrorLog) Write(line []byte) (int, error) {
	if !bytes.HasPrefix(line, handshakeErrorPrefix) {
		sel.log.Error().Bytes("Detail", line).Msg("error in the server for peers")
	}
	return len(line), nil
}

// canAuthenticate reports whether this host can authenticate as one of the deployment.
func (hos *Host) canAuthenticate() bool {
	if hos.hasPeerKey() {
		return true
	}
	_, known := hos.secrets.authenticator.KeyRing()
	return known
}

// applyKeyRing applies the secrets in the store. Invalid ones leave the previous ones in force.
func (wat *storeWatcher) applyKeyRing(val store.Value) {
	sec := wat.host.secrets
	rin, err := platform.DecodeKeyRing(val)
	if err == nil {
		err = sec.authenticator.SetKeyRing(rin)
	}
	sec.mutex.Lock()
	sec.revision, sec.invalid = val.Revision, err != nil
	sec.mutex.Unlock()
	if !wat.invalidValues.checkValue(val, err, "secrets refused, keeping the previous ones") {
		return
	}
	sec.knownOnce.Do(func() { close(sec.known) })
	wat.host.log.Info().Uint64("Revision", val.Revision.Number()).Bool("Next", len(rin.Next) > 0).Bool("Former", len(rin.Former) > 0).
		Time("Changed", rin.Changed).Msg("secrets in force")
}

// clearKeyRing records that the store holds no secrets.
func (wat *storeWatcher) clearKeyRing() {
	sec := wat.host.secrets
	sec.mutex.Lock()
	defer sec.mutex.Unlock()
	sec.revision, sec.invalid = 0, false
}

// maintainSecrets generates the deployment's secrets if there are none, and renews them while this
// host is the coordinator. A host that can't reach the store continues with the secrets that it has.
func (hos *Host) maintainSecrets(ctx context.Context) error {
	if hos.hasPeerKey() {
		<-ctx.Done()
		return ctx.Err()
	}
	hos.awaitStoreRead(ctx)
	wait := time.Duration(0)
	if !hos.canAuthenticate() {
		wait = rand.N(secretJitter)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			hos.renewSecrets(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
		if hos.canAuthenticate() {
			timer.Reset(min(secretInterval, hos.bounds.Load().RenewSecret()/4))
		} else {
			timer.Reset(secretRetry/2 + rand.N(secretRetry))
		}
	}
}

// renewSecrets writes what is due: the first secret, secrets that were removed from the store, or
// the next step of a rotation.
func (hos *Host) renewSecrets(ctx context.Context) {
	now := time.Now()
	sec := hos.secrets
	sec.mutex.Lock()
	revision, missing := sec.revision, sec.revision == 0 || sec.invalid
	sec.mutex.Unlock()
	ring, known := sec.authenticator.KeyRing()
	var err error
	due := false
	switch {
	case !known && missing:
		due = true
		ring, err = credential.NewKeyRing(now)
	case known && missing:
		due = hos.broker.coordinates()
	case known && hos.broker.coordinates():
		ring, due, err = ring.Rotation(now, hos.bounds.Load().RenewSecret())
	}
	if err != nil {
		hos.log.Error().Err(err).Msg("generating new secrets failed")
		return
	}
	if due {
		hos.writeKeyRing(ctx, ring, revision)
	}
}

// writeKeyRing writes secrets on condition that the stored ones still have the given revision. All
// hosts, this one included, read the result from the store.
func (hos *Host) writeKeyRing(ctx context.Context, ring credential.KeyRing, revision store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, secretTimeout)
	defer cancel()
	data, err := platform.EncodeKeyRing(ring)
	var rev store.Revision
	if err == nil {
		rev, err = hos.store.Put(ctx, store.Write{Key: platform.KeyRingKey(), Data: data, Expect: revision})
	}
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		hos.log.Debug().Err(err).Msg("another host wrote secrets first")
	case err != nil:
		hos.log.Warn().Err(err).Uint64("Expected", revision.Number()).Msg("writing secrets failed")
	default:
		hos.log.Info().Uint64("Expected", revision.Number()).Uint64("Revision", rev.Number()).Bool("Next", len(ring.Next) > 0).Msg("secrets written")
	}
}
