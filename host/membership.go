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

// The keys of membership on the platform.
const (
	watchedPrefix = "lynxwell/"
	hostsPrefix   = watchedPrefix + "hosts/"
	keyViewHead   = watchedPrefix + "view/head"
)

// watchWait is how long a watch waits for a change.
const watchWait = 20 * time.Second

// proposeStep is how much longer each further host waits before it proposes a
// view that others have failed to propose.
const proposeStep = 150 * time.Millisecond

// The pause after a call to the platform that failed grows between these.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// member returns what this host says of itself.
func (hos *Host) member() view.Member {
	return view.Member{
		Name: hos.set.Name, Epoch: hos.epoch, Domain: hos.set.Domain,
		CallerAddress: hos.set.CallerAddress, PeerAddress: hos.set.PeerAddress, Leaving: hos.draining.Load(),
	}
}

// keepLease keeps the host's lease and the key that hangs on it.
func (hos *Host) keepLease(ctx context.Context) error {
	kee := &leaseKeeper{host: hos}
	wait := minBackoff
	for {
		err := kee.step(ctx)
		next := hos.set.Timing.Lease.Std() / 2
		if err != nil {
			next, wait = wait, min(maxBackoff, 2*wait)
			hos.log.Debug().Err(err).Msg("lease not kept")
		} else {
			wait = minBackoff
		}
		select {
		case <-hos.leaving:
		default:
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-hos.leaving:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// leaseKeeper holds the lease of one host.
type leaseKeeper struct {
	host    *Host
	lease   store.LeaseID
	written []byte
}

// step renews the lease, or takes a new one, and writes the host's key where
// it isn't what it should be.
func (kee *leaseKeeper) step(ctx context.Context) error {
	if err := kee.renew(ctx); err != nil {
		return err
	}
	data, err := json.Marshal(kee.host.member())
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	if bytes.Equal(data, kee.written) {
		return nil
	}
	if err := kee.write(ctx, data); err != nil {
		return err
	}
	kee.written = data
	return nil
}

func (kee *leaseKeeper) renew(ctx context.Context) error {
	sto := kee.host.store
	if kee.lease != 0 {
		err := sto.RenewLease(ctx, kee.lease)
		var ler *store.LeaseError
		if !errors.As(err, &ler) {
			return err
		}
		kee.host.log.Warn().Msg("lease had lapsed")
		kee.lease, kee.written = 0, nil
	}
	lease, err := sto.GrantLease(ctx, kee.host.set.Timing.Lease.Std())
	if err != nil {
		return err
	}
	kee.lease = lease
	return nil
}

// write swaps the host's key; an uncertain write is read back by the next step.
func (kee *leaseKeeper) write(ctx context.Context, data []byte) error {
	key := hostsPrefix + kee.host.set.Name
	val, err := kee.host.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if bytes.Equal(val.Data, data) && val.Lease == kee.lease {
		return nil
	}
	_, err = kee.host.store.Put(ctx, store.Write{Key: key, Data: data, Expect: val.Revision, Lease: kee.lease})
	return err
}

// watchPlatform follows the platform: members, views and configuration.
func (hos *Host) watchPlatform(ctx context.Context) error {
	wait := minBackoff
	pastKnown := false
	for ctx.Err() == nil {
		rev, err := hos.refresh(ctx)
		if err == nil && !pastKnown {
			pastKnown = hos.fetchPast(ctx)
		}
		if err == nil {
			_, err = hos.store.Watch(ctx, watchedPrefix, rev, watchWait)
		}
		if err == nil {
			wait = minBackoff
			continue
		}
		hos.log.Debug().Err(err).Msg("platform not followed")
		hos.askSeeds(ctx)
		if !task.Sleep(ctx, wait) {
			break
		}
		wait = min(maxBackoff, 2*wait)
	}
	return ctx.Err()
}

// refresh reads what there is and proposes a view where the members differ.
func (hos *Host) refresh(ctx context.Context) (store.Revision, error) {
	values, rev, err := hos.store.List(ctx, watchedPrefix)
	if err != nil {
		return 0, err
	}
	see := seen{}
	for _, val := range values {
		if err := see.take(val); err != nil {
			hos.log.Error().Err(err).Str("Key", val.Key).Msg("value on the platform can't be read")
		}
	}
	if err := hos.applyViews(ctx, see.views); err != nil {
		return 0, err
	}
	if see.configFound {
		if err := hos.applyConfigValue(ctx, see.config); err != nil {
			hos.log.Warn().Err(err).Msg("configuration not applied")
		}
	}
	return rev, hos.propose(ctx, see)
}

// seen is what a reading of the platform found.
type seen struct {
	leased       []view.Member
	views        view.Head
	viewRevision store.Revision
	config       []byte
	configFound  bool
}

func (see *seen) take(val store.Value) error {
	switch {
	case val.Key == keyViewHead:
		hea, err := view.ParseHead(val.Data)
		if err != nil {
			return err
		}
		see.views, see.viewRevision = hea, val.Revision
	case val.Key == keyConfigHead:
		see.config, see.configFound = val.Data, true
	case bytes.HasPrefix([]byte(val.Key), []byte(hostsPrefix)):
		var mem view.Member
		if err := json.Unmarshal(val.Data, &mem); err != nil {
			return errors.Wrap(err, "decode member")
		}
		see.leased = append(see.leased, mem)
	}
	return nil
}

func (hos *Host) applyConfigValue(ctx context.Context, data []byte) error {
	hea, err := parseHead(data)
	if err != nil {
		return err
	}
	return hos.applyHead(ctx, hea, hos.partFromPlatform)
}

// applyViews brings the views to the loop, the oldest first.
func (hos *Host) applyViews(ctx context.Context, hea view.Head) error {
	if hea.Current.Number == 0 {
		return nil
	}
	_, err := ask(ctx, hos.loop, func(now time.Time) struct{} {
		for _, vie := range append(hea.Past, hea.Current) {
			hos.loop.takeView(now, vie)
		}
		return struct{}{}
	})
	return err
}

// takeView remembers a view, and puts it in force where it is the newest.
func (lop *loop) takeView(now time.Time, vie view.View) {
	if vie.Number == 0 {
		return
	}
	lop.applyView(now, vie)
	if lop.host.shared.addView(vie) {
		lop.host.log.Info().Uint64("View", vie.Number).Int("Members", len(vie.Members)).Msg("view in force")
	}
}

// propose swaps in the next view where the members differ from the current
// one. The hosts take turns by a fixed order, so that mostly one of them does it.
func (hos *Host) propose(ctx context.Context, see seen) error {
	members, err := hos.wantedMembers(ctx, see)
	if err != nil || len(members) == 0 || see.views.Current.SameMembers(members) {
		return err
	}
	rank := view.ProposerRank(see.views.Current, hos.set.Name)
	if rank > 0 {
		if !task.Sleep(ctx, time.Duration(rank)*proposeStep) {
			return ctx.Err()
		}
		val, err := hos.store.Get(ctx, keyViewHead)
		if err != nil || val.Revision != see.viewRevision {
			return err
		}
	}
	next := see.views.Next(members)
	data, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = hos.store.Put(ctx, store.Write{Key: keyViewHead, Data: data, Expect: see.viewRevision})
	var cer *store.ConflictError
	if errors.As(err, &cer) {
		return nil
	}
	if err != nil {
		return err
	}
	return hos.applyViews(ctx, next)
}

func (hos *Host) wantedMembers(ctx context.Context, see seen) ([]view.Member, error) {
	connected, err := ask(ctx, hos.loop, func(time.Time) map[uint64]bool {
		up := make(map[uint64]bool)
		for epo, out := range hos.loop.outbound {
			up[uint64(epo)] = out.up
		}
		return up
	})
	if err != nil {
		return nil, err
	}
	return view.Propose(see.views.Current, see.leased, func(mem view.Member) bool {
		return mem.Epoch == hos.epoch || connected[uint64(mem.Epoch)]
	}), nil
}
