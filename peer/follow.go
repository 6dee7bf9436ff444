package peer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/store"
)

// MirrorUpdate is a set of store changes that a host serves to its peers.
type MirrorUpdate struct {
	// Snapshot reports that Changes is a full snapshot, which replaces the receiver's
	// copy.
	Snapshot bool
	Changes  store.Changes
	// Confirmed is the time, relative to the start of the request, at which the
	// store last confirmed that the copy was current. It is negative for a time
	// before the request.
	Confirmed time.Duration
}

// Mirror is a copy of the store that peers read through this host.
type Mirror interface {
	// Follow waits up to the given time for changes after the revision. For
	// revision 0 it returns a full snapshot.
	Follow(ctx context.Context, after store.Revision, wait time.Duration) (MirrorUpdate, error)
}

// Unready is implemented by errors of a Mirror that has no copy of the store yet but
// may have one soon.
type Unready interface {
	error
	Unready()
}

// UnreadyError reports that a host has no copy of the store yet.
type UnreadyError struct {
	// Cause is the host's error.
	Cause error
}

// Error implements error.
func (une *UnreadyError) Error() string {
	return "peer has no copy of the store yet: " + une.Cause.Error()
}

// Follow requests the changes after the revision from the host at the address, and
// waits up to the given time for them. The caller must count the answer's Confirmed from
// the start of this call. The peer counted it from the later arrival of the request, so
// the copy never counts as more recent than it is.
func (cli *Client) Follow(ctx context.Context, adr netip.AddrPort, after store.Revision, wait time.Duration) (MirrorUpdate, error) {
	msg := &peerpb.FollowRequest{Header: headerToWire(cli.cfg.Self()), After: uint64(after), WaitUs: wait.Microseconds()}
	res, err := cli.stub(adr).Follow(ctx, newRequest(cli, msg))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return MirrorUpdate{}, &UnreadyError{Cause: err}
	}
	if err != nil {
		return MirrorUpdate{}, err
	}
	upd := MirrorUpdate{Snapshot: res.Msg.GetWhole(), Confirmed: fromMicros(res.Msg.GetConfirmedUs())}
	upd.Changes.Revision = store.Revision(res.Msg.GetRevision())
	for _, ent := range res.Msg.GetEntries() {
		upd.Changes.Changes = append(upd.Changes.Changes, store.Change{
			Value:   store.Value{Key: ent.GetKey(), Data: ent.GetData(), Revision: store.Revision(ent.GetRevision())},
			Deleted: ent.GetDeleted(),
		})
	}
	return upd, nil
}

// Follow implements peerpbconnect.PeerServiceHandler.
func (srv *Server) Follow(ctx context.Context, req *connect.Request[peerpb.FollowRequest]) (*connect.Response[peerpb.FollowResponse], error) {
	if srv.cfg.Mirror == nil {
		return nil, errNoMirror
	}
	upd, err := srv.cfg.Mirror.Follow(ctx, store.Revision(req.Msg.GetAfter()), fromMicros(req.Msg.GetWaitUs()))
	var unready Unready
	if errors.As(err, &unready) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := &peerpb.FollowResponse{
		Header: headerToWire(srv.cfg.Sessions.Header()), Whole: upd.Snapshot,
		Revision: uint64(upd.Changes.Revision), ConfirmedUs: upd.Confirmed.Microseconds(),
	}
	for _, cha := range upd.Changes.Changes {
		res.Entries = append(res.Entries, &peerpb.Entry{Key: cha.Key, Data: cha.Data, Revision: uint64(cha.Revision), Deleted: cha.Deleted})
	}
	return connect.NewResponse(res), nil
}
