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
	// secretSpread is the time over which hosts that find no secret make one: the first
	// one's is read by the others within a tenth of a second, and each try is a call.
	secretSpread = 600 * time.Millisecond
	// secretRetry is after what time a host that still knows none tries again.
	secretRetry = time.Second
	// secretInterval is how often the host that decides looks whether the secret is to be
	// renewed, or has been taken out of the store.
	secretInterval = 10 * time.Second
	// secretTimeout bounds the writing of a ring.
	secretTimeout = time.Second
	// refusedPause is the least time between two lines about hosts that were refused: a
	// stranger may try as often as it likes.
	refusedPause = time.Second
)

// secrets keeps the deployment's secret, unless the settings hold a key.
type secrets struct {
	keeper *credential.Keeper
	// known is closed once a secret is known.
	known   chan struct{}
	knowing sync.Once

	mutex sync.Mutex
	// revision is the store's of the ring; 0 while none lies there. broken says that what
	// lies there can't be used.
	revision store.Revision
	broken   bool
	// toldAt is when a refused host was last logged, untold how many were since.
	toldAt time.Time
	untold int
}

func newSecrets(hos *Host) *secrets {
	scr := &secrets{known: make(chan struct{})}
	scr.keeper = credential.NewKeeper(credential.Config{Refused: func(err error) { hos.refusePeer(time.Now(), err) }})
	return scr
}

// refusePeer counts a host that didn't prove to be one of the deployment, and says so in
// bounds.
func (hos *Host) refusePeer(now time.Time, err error) {
	hos.figures.peersRefused.Inc(1)
	scr := hos.secrets
	scr.mutex.Lock()
	defer scr.mutex.Unlock()
	if now.Sub(scr.toldAt) < refusedPause {
		scr.untold++
		return
	}
	hos.log.Warn().Err(err).Int("More", scr.untold).Msg("host refused")
	scr.toldAt, scr.untold = now, 0
}

// keyed reports whether the settings hold a key, in place of the secret in the store.
func (hos *Host) keyed() bool { return hos.set.PeerKey != "" }

// handshakeComplaint begins what the library's server says of each handshake that fails.
var handshakeComplaint = []byte("http: TLS handshake error")

// serverErrors takes what the library's server for other hosts complains of into the log,
// but for handshakes: any stranger can have as many of those fail as it likes, and whoever
// shows another secret is counted by the keeper of the secrets.
type serverErrors struct{ log zerolog.Logger }

// Write implements io.Writer.
func (see serverErrors) Write(line []byte) (int, error) {
	if !bytes.HasPrefix(line, handshakeComplaint) {
		see.log.Error().Bytes("Detail", line).Msg("server for other hosts")
	}
	return len(line), nil
}

// knowsPeers reports whether this host can prove to be one of the deployment.
func (hos *Host) knowsPeers() bool {
	if hos.keyed() {
		return true
	}
	_, known := hos.secrets.keeper.Ring()
	return known
}

// takeRing takes the secrets that lie in the store. Bad ones leave the former in force.
func (obs *observer) takeRing(val store.Value) {
	scr := obs.host.secrets
	rin, err := platform.DecodeRing(val)
	if err == nil {
		err = scr.keeper.Take(rin)
	}
	scr.mutex.Lock()
	scr.revision, scr.broken = val.Revision, err != nil
	scr.mutex.Unlock()
	if !obs.refused.usable(val, err, "secrets refused, the former ones stay") {
		return
	}
	scr.knowing.Do(func() { close(scr.known) })
	obs.host.log.Info().Uint64("Revision", uint64(val.Revision)).Bool("Next", len(rin.Next) > 0).Bool("Former", len(rin.Former) > 0).
		Time("Changed", rin.Changed).Msg("secrets in force")
}

// loseRing notes that no secrets lie in the store.
func (obs *observer) loseRing() {
	scr := obs.host.secrets
	scr.mutex.Lock()
	defer scr.mutex.Unlock()
	scr.revision, scr.broken = 0, false
}

// keepSecret makes the deployment's secret where there is none, and renews it while this
// host decides for all. A host without the store lives on the secrets that it knows.
func (hos *Host) keepSecret(ctx context.Context) error {
	if hos.keyed() {
		<-ctx.Done()
		return ctx.Err()
	}
	hos.awaitListed(ctx)
	wait := time.Duration(0)
	if !hos.knowsPeers() {
		wait = rand.N(secretSpread)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			hos.renewSecret(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
		if hos.knowsPeers() {
			timer.Reset(min(secretInterval, hos.bounds.Load().RenewSecret()/4))
		} else {
			timer.Reset(secretRetry/2 + rand.N(secretRetry))
		}
	}
}

// renewSecret writes what is due: a first secret, one that was taken out of the store, or
// the next step of a renewal.
func (hos *Host) renewSecret(ctx context.Context) {
	now := time.Now()
	scr := hos.secrets
	scr.mutex.Lock()
	revision, missing := scr.revision, scr.revision == 0 || scr.broken
	scr.mutex.Unlock()
	ring, known := scr.keeper.Ring()
	var err error
	due := false
	switch {
	case !known && missing:
		due = true
		ring, err = credential.NewRing(now)
	case known && missing:
		due = hos.desk.coordinates()
	case known && hos.desk.coordinates():
		ring, due, err = ring.Renewal(now, hos.bounds.Load().RenewSecret())
	}
	if err != nil {
		hos.log.Error().Err(err).Msg("secrets not made")
		return
	}
	if due {
		hos.writeRing(ctx, ring, revision)
	}
}

// writeRing writes secrets under the condition of the key's revision. What came of it is
// read from the store, by this host too.
func (hos *Host) writeRing(ctx context.Context, ring credential.Ring, revision store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, secretTimeout)
	defer cancel()
	data, err := platform.EncodeRing(ring)
	var rev store.Revision
	if err == nil {
		rev, err = hos.store.Put(ctx, store.Write{Key: platform.RingKey(), Data: data, Expect: revision})
	}
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		hos.log.Debug().Err(err).Msg("another host has written secrets")
	case err != nil:
		hos.log.Warn().Err(err).Uint64("Expected", uint64(revision)).Msg("secrets not written")
	default:
		hos.log.Info().Uint64("Expected", uint64(revision)).Uint64("Revision", uint64(rev)).Bool("Next", len(ring.Next) > 0).Msg("secrets written")
	}
}
