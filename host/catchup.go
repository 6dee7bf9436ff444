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

// recordHeader records the header that a peer reported, and triggers a fetch from the peer if
// the header names a newer view or configuration.
func (hos *Host) recordHeader(hea peer.Header, mem view.Member) {
	hos.shared.recordHeader(hea)
	if hea.View <= hos.shared.view().Number && hea.Revision <= hos.Configuration().Revision {
		return
	}
	select {
	case hos.aheadPeers <- mem.PeerAddress:
	default:
		// A fetch is already pending; the next header triggers another one.
	}
}

// catchUp fetches views and the configuration from peers that have newer ones, until the
// context ends.
func (hos *Host) catchUp(ctx context.Context) error {
	for {
		select {
		case adr := <-hos.aheadPeers:
			if err := hos.fetchFrom(ctx, adr); err != nil {
				hos.log.Debug().Err(err).Stringer("Peer", adr).Msg("fetching newer views and configuration from a peer failed")
				if !task.Sleep(ctx, minBackoff) {
					return ctx.Err()
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetchFrom fetches and applies the peer's views and configuration that are newer than those
// of this host.
func (hos *Host) fetchFrom(ctx context.Context, adr netip.AddrPort) error {
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	sta, err := hos.peers.FetchState(callCtx, adr, hos.shared.view().Number+1, hos.Configuration().Revision)
	if err != nil {
		return err
	}
	if err := hos.applyEncodedViews(ctx, sta.Views); err != nil {
		return err
	}
	if len(sta.Head) == 0 {
		return nil
	}
	hea, err := parseHead(sta.Head)
	if err != nil {
		return err
	}
	return hos.applyHead(ctx, hea, func(_ context.Context, ref resource.ChunkRef) ([]byte, error) {
		data, sent := sta.Chunks[ref.Digest]
		if !sent {
			return nil, &resource.ChunkError{Digest: ref.Digest, Reason: "missing in the peer's answer"}
		}
		return data, nil
	})
}

// applyEncodedViews decodes views from JSON and applies them on the loop.
func (hos *Host) applyEncodedViews(ctx context.Context, raw [][]byte) error {
	var views []view.View
	for _, data := range raw {
		var vie view.View
		if err := json.Unmarshal(data, &vie); err != nil {
			return errors.Wrap(err, "decode view")
		}
		views = append(views, vie)
	}
	_, err := callLoop(ctx, hos.loop, func(now time.Time) struct{} {
		for _, vie := range views {
			hos.loop.applyView(now, vie)
		}
		return struct{}{}
	})
	return err
}

// fetchFromSeeds fetches views and the configuration from the peers listed in the settings,
// so that a host can start while the platform is unavailable. It does nothing once the host
// has both.
func (hos *Host) fetchFromSeeds(ctx context.Context) {
	if hos.shared.view().Number > 0 && hos.Configuration().Revision > 0 {
		return
	}
	for _, adr := range hos.set.Seeds {
		if adr == hos.set.PeerAddress {
			continue
		}
		if err := hos.fetchFrom(ctx, adr); err != nil {
			hos.log.Debug().Err(err).Stringer("Seed", adr).Msg("fetching views and configuration from a seed failed")
		}
	}
}

// fetchPastViews asks the active peers one after the other for the views that preceded this
// host's start, since requests with ids issued in those views may still arrive. It returns
// false if no peer answered or the views could not be applied; watchPlatform then tries again.
func (hos *Host) fetchPastViews(ctx context.Context) bool {
	if hos.shared.view().Number <= 1 {
		return true
	}
	for _, mem := range hos.shared.view().Active() {
		if mem.Epoch == hos.epoch {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		sta, err := hos.peers.FetchState(callCtx, mem.PeerAddress, 1, hos.Configuration().Revision)
		cancel()
		if err == nil {
			return hos.applyEncodedViews(ctx, sta.Views) == nil
		}
	}
	return false
}
