package host

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/view"
)

// noteHeader takes note of what a peer says of itself, and has this host
// fetch what the peer has and it has not.
func (hos *Host) noteHeader(hea peer.Header, mem view.Member) {
	hos.shared.noteHeader(hea)
	if hea.View <= hos.shared.view().Number && hea.Revision <= hos.Configuration().Revision {
		return
	}
	select {
	case hos.ahead <- mem.PeerAddress:
	default:
		// A fetch is due anyway; the next header asks again.
	}
}

// catchUp fetches views and configuration from peers that are ahead.
func (hos *Host) catchUp(ctx context.Context) error {
	for {
		select {
		case adr := <-hos.ahead:
			if err := hos.fetchFrom(ctx, adr); err != nil {
				hos.log.Debug().Err(err).Stringer("Peer", adr).Msg("couldn't catch up")
				if !task.Sleep(ctx, minBackoff) {
					return ctx.Err()
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetchFrom fetches what the peer has and this host has not.
func (hos *Host) fetchFrom(ctx context.Context, adr netip.AddrPort) error {
	asking, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	sta, err := hos.peers.FetchState(asking, adr, hos.shared.view().Number+1, hos.Configuration().Revision)
	if err != nil {
		return err
	}
	if err := hos.takeViews(ctx, sta.Views); err != nil {
		return err
	}
	if len(sta.Head) == 0 {
		return nil
	}
	hea, err := parseHead(sta.Head)
	if err != nil {
		return err
	}
	return hos.applyHead(ctx, hea, func(_ context.Context, ref resource.PartRef) ([]byte, error) {
		data, sent := sta.Parts[ref.Digest]
		if !sent {
			return nil, &resource.PartError{Digest: ref.Digest, Reason: "not sent by the peer"}
		}
		return data, nil
	})
}

func (hos *Host) takeViews(ctx context.Context, raw [][]byte) error {
	var views []view.View
	for _, data := range raw {
		var vie view.View
		if err := json.Unmarshal(data, &vie); err != nil {
			return errors.Wrap(err, "decode view")
		}
		views = append(views, vie)
	}
	_, err := ask(ctx, hos.loop, func(now time.Time) struct{} {
		for _, vie := range views {
			hos.loop.takeView(now, vie)
		}
		return struct{}{}
	})
	return err
}

// askSeeds has a host that starts while the platform is out learn views and
// configuration from the peers that its settings name.
func (hos *Host) askSeeds(ctx context.Context) {
	if hos.shared.view().Number > 0 && hos.Configuration().Revision > 0 {
		return
	}
	for _, adr := range hos.set.Seeds {
		if adr == hos.set.PeerAddress {
			continue
		}
		if err := hos.fetchFrom(ctx, adr); err != nil {
			hos.log.Debug().Err(err).Stringer("Seed", adr).Msg("seed didn't answer")
		}
	}
}

// fetchPast has a host that has just started learn the views before it from a
// peer: ids of them may still come. It returns whether there is nothing left to learn.
func (hos *Host) fetchPast(ctx context.Context) bool {
	if hos.shared.view().Number <= 1 {
		return true
	}
	for _, mem := range hos.shared.view().Active() {
		if mem.Epoch == hos.epoch {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, questionTimeout)
		sta, err := hos.peers.FetchState(asking, mem.PeerAddress, 1, hos.Configuration().Revision)
		cancel()
		if err == nil {
			return hos.takeViews(ctx, sta.Views) == nil
		}
	}
	return false
}
