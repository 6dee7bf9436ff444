package peer

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/peer/peerpb"
)

// stream is either end of a session.
type stream interface {
	Send(frame *peerpb.Frame) error
	Receive() (*peerpb.Frame, error)
}

// pump moves messages both ways until the session is lost, and returns why.
type pump struct {
	stream  stream
	queue   <-chan Outgoing
	timing  Timing
	self    func() Header
	deliver func(*peerpb.Frame)
	// unblock ends a send or a receive that waits.
	unblock func()
	pulse   pulse
}

// run returns when either direction ends or the peer falls silent, and both
// goroutines have ended: a stream must not be used once its handler is over.
func (pum *pump) run(ctx context.Context, cancel context.CancelFunc) error {
	pum.pulse.begin(time.Now())
	readEnd := make(chan error, 1)
	go func() {
		readEnd <- pum.read()
		close(readEnd)
	}()
	writeEnd := make(chan error, 1)
	go func() {
		writeEnd <- pum.write(ctx)
		close(writeEnd)
	}()
	err := pum.watch(ctx, readEnd, writeEnd)
	cancel()
	pum.unblock()
	<-readEnd
	<-writeEnd
	return err
}

// watch waits for the first end of either direction, or for silence.
func (pum *pump) watch(ctx context.Context, readEnd, writeEnd <-chan error) error {
	look := time.NewTicker(pum.timing.Heartbeat)
	defer look.Stop()
	for {
		select {
		case err := <-readEnd:
			return err
		case err := <-writeEnd:
			return err
		case now := <-look.C:
			if silent, limit := pum.pulse.silent(now, pum.timing); silent {
				return &SilenceError{After: limit}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (pum *pump) read() error {
	for {
		frame, err := pum.stream.Receive()
		if err != nil {
			return err
		}
		pum.pulse.heard(time.Now(), len(frame.GetEnvelopes()) > 0, pum.timing)
		pum.deliver(frame)
	}
}

func (pum *pump) write(ctx context.Context) error {
	beat := time.NewTicker(pum.timing.Heartbeat)
	defer beat.Stop()
	opening := &peerpb.Frame{Header: headerToWire(pum.self())}
	if err := pum.stream.Send(opening); err != nil {
		return err
	}
	for {
		var batch []*peerpb.Envelope
		select {
		case out, open := <-pum.queue:
			if !open {
				return nil
			}
			batch = pum.gather(out)
			pum.pulse.sent(time.Now(), pum.timing)
		case now := <-beat.C:
			if !pum.pulse.due(now, pum.timing) {
				continue
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := pum.stream.Send(pum.frame(batch)); err != nil {
			return err
		}
	}
}

// gather takes along what else waits already.
func (pum *pump) gather(first Outgoing) []*peerpb.Envelope {
	batch := []*peerpb.Envelope{toWire(first)}
	for len(batch) < maxBatch {
		select {
		case out, open := <-pum.queue:
			if !open {
				return batch
			}
			batch = append(batch, toWire(out))
		default:
			return batch
		}
	}
	return batch
}

// frame leaves the name out, which the first frame has told.
func (pum *pump) frame(batch []*peerpb.Envelope) *peerpb.Frame {
	hea := pum.self()
	hea.Name = ""
	return &peerpb.Frame{Header: headerToWire(hea), Envelopes: batch}
}
