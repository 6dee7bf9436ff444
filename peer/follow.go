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

// Following is what a host passes on of the store.
type Following struct {
	// Whole has the changes replace all that was known before.
	Whole   bool
	Changes store.Changes
	// Confirmed is when the store last showed this to be current, counted from
	// the question; it may be negative.
	Confirmed time.Duration
}

// Mirror is what a host offers to those who read the store through it.
type Mirror interface {
	// Follow waits up to the given time for changes after the revision; after 0
	// everything is told.
	Follow(ctx context.Context, after store.Revision, wait time.Duration) (Following, error)
}

// Unready is an error of a Mirror that has nothing to pass on yet, and soon may.
type Unready interface {
	error
	Unready()
}

// UnreadyError reports a host that has nothing to pass on yet.
type UnreadyError struct {
	// Cause is what the host said.
	Cause error
}

// Error says so.
func (une *UnreadyError) Error() string {
	return "nothing to follow yet: " + une.Cause.Error()
}

// Follow asks the host at the address for changes after the revision. The time
// in the answer counts from this call, which is sooner than the question's
// arrival: what is taken from it errs towards old.
func (cli *Client) Follow(ctx context.Context, adr netip.AddrPort, after store.Revision, wait time.Duration) (Following, error) {
	msg := &peerpb.FollowRequest{Header: headerToWire(cli.cfg.Self()), After: uint64(after), WaitUs: wait.Microseconds()}
	res, err := cli.stub(adr).Follow(ctx, signed(cli, msg))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return Following{}, &UnreadyError{Cause: err}
	}
	if err != nil {
		return Following{}, err
	}
	fol := Following{Whole: res.Msg.GetWhole(), Confirmed: fromMicros(res.Msg.GetConfirmedUs())}
	fol.Changes.Revision = store.Revision(res.Msg.GetRevision())
	for _, ent := range res.Msg.GetEntries() {
		fol.Changes.Changes = append(fol.Changes.Changes, store.Change{
			Value:   store.Value{Key: ent.GetKey(), Data: ent.GetData(), Revision: store.Revision(ent.GetRevision())},
			Deleted: ent.GetDeleted(),
		})
	}
	return fol, nil
}

// Follow implements the generated service.
func (srv *Server) Follow(ctx context.Context, req *connect.Request[peerpb.FollowRequest]) (*connect.Response[peerpb.FollowResponse], error) {
	if srv.cfg.Mirror == nil {
		return nil, errNoMirror
	}
	fol, err := srv.cfg.Mirror.Follow(ctx, store.Revision(req.Msg.GetAfter()), fromMicros(req.Msg.GetWaitUs()))
	var unready Unready
	if errors.As(err, &unready) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := &peerpb.FollowResponse{
		Header: headerToWire(srv.cfg.Sessions.Header()), Whole: fol.Whole,
		Revision: uint64(fol.Changes.Revision), ConfirmedUs: fol.Confirmed.Microseconds(),
	}
	for _, cha := range fol.Changes.Changes {
		res.Entries = append(res.Entries, &peerpb.Entry{Key: cha.Key, Data: cha.Data, Revision: uint64(cha.Revision), Deleted: cha.Deleted})
	}
	return connect.NewResponse(res), nil
}
