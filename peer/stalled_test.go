package peer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/processtest"
	"lynxwell.dev/lynxwell/request"
)

// Guards against opening the next session on a pooled connection that no longer transmits
// anything, while new connections to the same host work.
func TestSessionReconnectsAfterConnectionStalls(t *testing.T) {
	bac := newBackend(5)
	mem := serve(t, bac)
	lnk := processtest.NewLink(t, mem.PeerAddress)
	mem.PeerAddress = lnk.Address
	cli := newClient(t, key)
	ups := make(chan request.Epoch, 1)
	stopped := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			sessionCtx, cancelSession := context.WithTimeout(ctx, 10*time.Second)
			// The session ends with an error and is reopened until the test ends.
			_ = cli.Session(sessionCtx, mem, peer.NewQueue(), func() { ups <- mem.Epoch }, func(peer.Received) {})
			cancelSession()
		}
	}()
	defer func() {
		cancel()
		<-stopped
	}()
	<-ups
	lnk.SilenceOpen()
	select {
	case <-ups:
	case <-time.After(3 * time.Second):
		t.Fatal("no new session within 3 s")
	}
	assert.NilError(t, ctx.Err())
}
