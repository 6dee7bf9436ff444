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

// A connection that goes silent for good must not be taken for the next session:
// new connections work.
func TestSessionComesBackWhenItsConnectionFallsSilent(t *testing.T) {
	bac := newBackend(5)
	mem := serve(t, bac)
	lnk := processtest.NewLink(t, mem.PeerAddress)
	mem.PeerAddress = lnk.Address
	cli := newClient(t, key)
	ups := make(chan request.Epoch, 1)
	end := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(end)
		for ctx.Err() == nil {
			opening, done := context.WithTimeout(ctx, 10*time.Second)
			// The session is lost and opened again until the test ends.
			_ = cli.Session(opening, mem, peer.NewQueue(), func() { ups <- mem.Epoch }, func(peer.Received) {})
			done()
		}
	}()
	defer func() {
		cancel()
		<-end
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
