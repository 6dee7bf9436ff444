package peer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

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
	// Stamp identifies the content of the copy: updates after the same revision with the same
	// stamp have the same changes. 0 if the copy has no stamp.
	Stamp uint64
	// Lost reports that the host can't reach the store and reads the copies of other hosts.
	Lost bool
}

// MirrorQuery is what a reader has, and how long it waits for more.
type MirrorQuery struct {
	// After is the revision of the reader's copy; 0 requests a full snapshot.
	After store.Revision
	// Wait is how long to wait for news.
	Wait time.Duration
	// Confirmed is when the reader's copy was last confirmed, relative to the start of the
	// request; 0 if only changes are news.
	Confirmed time.Duration
}

// Mirror is a copy of the store that peers read through this host.
type Mirror interface {
	// Follow waits for changes after the reader's revision, or for a newer confirmation.
	Follow(ctx context.Context, que MirrorQuery) (MirrorUpdate, error)
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

// Follow requests the changes after the reader's revision from the host at the address, and
// waits for them. The caller must count the answer's Confirmed from the start of this call.
// The peer counted it from the later arrival of the request, so the copy never counts as more
// recent than it is.
func (cli *Client) Follow(ctx context.Context, adr netip.AddrPort, que MirrorQuery) (MirrorUpdate, error) {
	msg := &peerpb.FollowRequest{
		Header: headerToWire(cli.cfg.Self()), After: uint64(que.After), WaitUs: que.Wait.Microseconds(),
		ConfirmedUs: que.Confirmed.Microseconds(), Packed: true,
	}
	res, err := cli.stub(adr).Follow(ctx, newRequest(cli, msg))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return MirrorUpdate{}, &UnreadyError{Cause: err}
	}
	if err != nil {
		return MirrorUpdate{}, err
	}
	entries, err := entriesOf(res.Msg)
	if err != nil {
		return MirrorUpdate{}, err
	}
	upd := MirrorUpdate{Snapshot: res.Msg.GetWhole(), Confirmed: fromMicros(res.Msg.GetConfirmedUs()), Lost: res.Msg.GetLost()}
	upd.Changes.Revision = store.Revision(res.Msg.GetRevision())
	for _, ent := range entries {
		upd.Changes.Changes = append(upd.Changes.Changes, store.Change{
			Value:   store.Value{Key: ent.GetKey(), Data: ent.GetData(), Revision: store.Revision(ent.GetRevision())},
			Deleted: ent.GetDeleted(),
		})
	}
	return upd, nil
}

// entriesOf returns the entries of an answer.
func entriesOf(res *peerpb.FollowResponse) ([]*peerpb.Entry, error) {
	if len(res.GetPacked()) == 0 {
		return res.GetEntries(), nil
	}
	return unpackEntries(res.GetPacked())
}

// Follow implements peerpbconnect.PeerServiceHandler.
func (srv *Server) Follow(ctx context.Context, req *connect.Request[peerpb.FollowRequest]) (*connect.Response[peerpb.FollowResponse], error) {
	if srv.cfg.Mirror == nil {
		return nil, errNoMirror
	}
	que := MirrorQuery{After: store.Revision(req.Msg.GetAfter()), Wait: fromMicros(req.Msg.GetWaitUs()), Confirmed: fromMicros(req.Msg.GetConfirmedUs())}
	upd, err := srv.cfg.Mirror.Follow(ctx, que)
	var unready Unready
	if errors.As(err, &unready) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := &peerpb.FollowResponse{
		Header: headerToWire(srv.cfg.Sessions.Header()), Whole: upd.Snapshot,
		Revision: uint64(upd.Changes.Revision), ConfirmedUs: upd.Confirmed.Microseconds(), Lost: upd.Lost,
	}
	if err := srv.setEntries(res, req.Msg, upd); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	srv.reportFollowed(res)
	return connect.NewResponse(res), nil
}

// setEntries sets the entries of an answer, packed if the reader reads that and they are large.
func (srv *Server) setEntries(res *peerpb.FollowResponse, req *peerpb.FollowRequest, upd MirrorUpdate) error {
	if !req.GetPacked() || upd.Stamp == 0 || dataSize(upd.Changes.Changes) < compressMinBytes {
		res.Entries = entriesToWire(upd.Changes.Changes)
		return nil
	}
	packed, err := srv.packed.pack(packKey{after: req.GetAfter(), stamp: upd.Stamp}, upd.Changes.Changes)
	res.Packed = packed
	return err
}

func entriesToWire(changes []store.Change) []*peerpb.Entry {
	entries := make([]*peerpb.Entry, len(changes))
	for idx, cha := range changes {
		entries[idx] = &peerpb.Entry{Key: cha.Key, Data: cha.Data, Revision: uint64(cha.Revision), Deleted: cha.Deleted}
	}
	return entries
}

func dataSize(changes []store.Change) int {
	size := 0
	for _, cha := range changes {
		size += len(cha.Key) + len(cha.Data)
	}
	return size
}

// Followed describes an answer to Follow.
type Followed struct {
	// Whole is set if the answer holds a full snapshot.
	Whole bool
	// Bytes is the size of the answer.
	Bytes int
}

func (srv *Server) reportFollowed(res *peerpb.FollowResponse) {
	if srv.cfg.Followed != nil {
		srv.cfg.Followed(Followed{Whole: res.GetWhole(), Bytes: proto.Size(res)})
	}
}
