package host

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/view"
)

// The platform's keys for membership. Hosts watch all keys with watchedPrefix.
const (
	watchedPrefix = "lynxwell/"
	hostsPrefix   = watchedPrefix + "hosts/"
	keyViewHead   = watchedPrefix + "view/head"
)

// watchTimeout bounds how long one watch call waits for a change.
const watchTimeout = 20 * time.Second

// proposalStagger is the delay per proposer rank, so that a host proposes a view only if
// the hosts ranked before it have not done so.
const proposalStagger = 150 * time.Millisecond

// minBackoff and maxBackoff bound the exponential backoff after a failed call to the platform.
// minBackoff is also the wait after a failed fetch from a peer.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// member returns the membership entry that this host publishes.
func (hos *Host) member() view.Member {
	return view.Member{
		Name: hos.set.Name, Epoch: hos.epoch, Domain: hos.set.Domain,
		CallerAddress: hos.set.CallerAddress, PeerAddress: hos.set.PeerAddress, Draining: hos.draining.Load(),
	}
}

// maintainLease renews the host's lease and keeps the membership key up to date, until the
// context ends.
func (hos *Host) maintainLease(ctx context.Context) error {
	hol := &leaseHolder{host: hos}
	wait := minBackoff
	for {
		err := hol.step(ctx)
		next := hos.set.Timing.Lease.Std() / 2
		if err != nil {
			next, wait = wait, min(maxBackoff, 2*wait)
			hos.log.Debug().Err(err).Msg("renewing the host's lease or writing its membership key failed; retrying after a backoff")
		} else {
			wait = minBackoff
		}
		select {
		case <-hos.drainStarted:
		default:
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-hos.drainStarted:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// leaseHolder holds a host's lease and the value most recently written under its membership
// key.
type leaseHolder struct {
	host    *Host
	lease   store.LeaseID
	written []byte
}

// step renews the lease, or requests a new one, and writes the host's membership key if the
// stored value is out of date.
func (hol *leaseHolder) step(ctx context.Context) error {
	if err := hol.renew(ctx); err != nil {
		return err
	}
	data, err := json.Marshal(hol.host.member())
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	if bytes.Equal(data, hol.written) {
		return nil
	}
	if err := hol.write(ctx, data); err != nil {
		return err
	}
	hol.written = data
	return nil
}

// renew renews the lease, or requests a new one if there is none or it has expired.
func (hol *leaseHolder) renew(ctx context.Context) error {
	sto := hol.host.store
	if !hol.lease.IsZero() {
		err := sto.RenewLease(ctx, hol.lease)
		var ler *store.LeaseError
		if !errors.As(err, &ler) {
			return err
		}
		hol.host.log.Warn().Msg("host's lease expired; requesting a new one")
		hol.lease, hol.written = store.LeaseID{}, nil
	}
	lease, err := sto.GrantLease(ctx, hol.host.set.Timing.Lease.Std())
	if err != nil {
		return err
	}
	hol.lease = lease
	return nil
}

// write updates the host's membership key by compare-and-swap. After a write with an
// uncertain outcome, the next step reads the key and writes only if the value or
// the lease differs.
func (hol *leaseHolder) write(ctx context.Context, data []byte) error {
	key := hostsPrefix + hol.host.set.Name
	val, err := hol.host.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if bytes.Equal(val.Data, data) && val.Lease == hol.lease {
		return nil
	}
	_, err = hol.host.store.Put(ctx, store.Write{Key: key, Data: data, Expect: val.Revision, Lease: hol.lease})
	return err
}

// watchPlatform watches the members, views and configuration on the platform and applies
// their changes. While the platform is unavailable, a host without a view or configuration
// fetches them from the seeds.
func (hos *Host) watchPlatform(ctx context.Context) error {
	wait := minBackoff
	pastViewsFetched := false
	for ctx.Err() == nil {
		rev, err := hos.refresh(ctx)
		if err == nil && !pastViewsFetched {
			pastViewsFetched = hos.fetchPastViews(ctx)
		}
		if err == nil {
			_, err = hos.store.Watch(ctx, watchedPrefix, rev, watchTimeout)
		}
		if err == nil {
			wait = minBackoff
			continue
		}
		hos.log.Debug().Err(err).Msg("reading or watching the platform failed; asking the seeds and retrying after a backoff")
		hos.fetchFromSeeds(ctx)
		if !task.Sleep(ctx, wait) {
			break
		}
		wait = min(maxBackoff, 2*wait)
	}
	return ctx.Err()
}

// refresh reads the watched keys, applies the views and the configuration, and proposes a new
// view if the members have changed. It returns the revision to watch from.
func (hos *Host) refresh(ctx context.Context) (store.Revision, error) {
	values, rev, err := hos.store.List(ctx, watchedPrefix)
	if err != nil {
		return 0, err
	}
	snp := platformSnapshot{}
	for _, val := range values {
		if err := snp.add(val); err != nil {
			hos.log.Error().Err(err).Str("Key", val.Key).Msg("decoding a value stored on the platform failed; ignoring the key")
		}
	}
	if err := hos.applyViews(ctx, snp.views); err != nil {
		return 0, err
	}
	if snp.configFound {
		if err := hos.applyConfigValue(ctx, snp.config); err != nil {
			hos.log.Warn().Err(err).Msg("applying the configuration stored on the platform failed; the active configuration stays in use")
		}
	}
	return rev, hos.propose(ctx, snp)
}

// platformSnapshot holds the decoded values of one read of the watched keys.
type platformSnapshot struct {
	leased       []view.Member
	views        view.Head
	viewRevision store.Revision
	config       []byte
	configFound  bool
}

func (snp *platformSnapshot) add(val store.Value) error {
	switch {
	case val.Key == keyViewHead:
		hea, err := view.ParseHead(val.Data)
		if err != nil {
			return err
		}
		snp.views, snp.viewRevision = hea, val.Revision
	case val.Key == keyConfigHead:
		snp.config, snp.configFound = val.Data, true
	case bytes.HasPrefix([]byte(val.Key), []byte(hostsPrefix)):
		var mem view.Member
		if err := json.Unmarshal(val.Data, &mem); err != nil {
			return errors.Wrap(err, "decode member")
		}
		snp.leased = append(snp.leased, mem)
	}
	return nil
}

func (hos *Host) applyConfigValue(ctx context.Context, data []byte) error {
	hea, err := parseHead(data)
	if err != nil {
		return err
	}
	return hos.applyHead(ctx, hea, hos.chunkFromPlatform)
}

// applyViews applies the views of the head on the loop, oldest first.
func (hos *Host) applyViews(ctx context.Context, hea view.Head) error {
	if hea.Current.Number == 0 {
		return nil
	}
	_, err := callLoop(ctx, hos.loop, func(now time.Time) struct{} {
		for _, vie := range append(hea.Past, hea.Current) {
			hos.loop.applyView(now, vie)
		}
		return struct{}{}
	})
	return err
}

// applyView passes a view to both cores and adds it to the history. The newest view
// becomes the current one.
func (lop *loop) applyView(now time.Time, vie view.View) {
	if vie.Number == 0 {
		return
	}
	lop.deliverView(now, vie)
	if lop.host.shared.addView(vie) {
		lop.host.log.Info().Uint64("View", vie.Number).Int("Members", len(vie.Members)).Msg("view active")
	}
}

// propose writes the next view by compare-and-swap if its members differ from those of the
// current one. Each host first waits according to its rank, so that usually only one writes.
func (hos *Host) propose(ctx context.Context, snp platformSnapshot) error {
	members, err := hos.proposedMembers(ctx, snp)
	if err != nil || len(members) == 0 || snp.views.Current.SameMembers(members) {
		return err
	}
	rank := view.ProposerRank(snp.views.Current, hos.set.Name)
	if rank > 0 {
		if !task.Sleep(ctx, time.Duration(rank)*proposalStagger) {
			return ctx.Err()
		}
		val, err := hos.store.Get(ctx, keyViewHead)
		if err != nil || val.Revision != snp.viewRevision {
			return err
		}
	}
	next := snp.views.Next(members)
	data, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = hos.store.Put(ctx, store.Write{Key: keyViewHead, Data: data, Expect: snp.viewRevision})
	var cer *store.ConflictError
	if errors.As(err, &cer) {
		return nil
	}
	if err != nil {
		return err
	}
	return hos.applyViews(ctx, next)
}

// proposedMembers returns the members for the next view: the hosts with a lease, and the
// members of the current view that are this host or have a session with its gateway.
func (hos *Host) proposedMembers(ctx context.Context, snp platformSnapshot) ([]view.Member, error) {
	connected, err := callLoop(ctx, hos.loop, func(time.Time) map[uint64]bool {
		up := make(map[uint64]bool)
		for epo, out := range hos.loop.outbound {
			up[uint64(epo)] = out.up
		}
		return up
	})
	if err != nil {
		return nil, err
	}
	return view.Propose(snp.views.Current, snp.leased, func(mem view.Member) bool {
		return mem.Epoch == hos.epoch || connected[uint64(mem.Epoch)]
	}), nil
}
