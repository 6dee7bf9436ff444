package peer

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/peer/peerpb"
)

// stream is either end of a session's stream.
type stream interface {
	Send(frame *peerpb.Frame) error
	Receive() (*peerpb.Frame, error)
}

// session runs one end of a session: it sends queued messages and heartbeats, and
// delivers received frames.
type session struct {
	stream  stream
	queue   <-chan Outgoing
	timing  Timing
	self    func() Header
	deliver func(*peerpb.Frame)
	// unblock aborts a blocked send or receive.
	unblock   func()
	heartbeat heartbeat
}

// run blocks until either direction ends, the peer times out or the context is
// cancelled, and returns the reason. It waits for both of its goroutines, because a
// stream must not be used after its handler has returned.
func (ses *session) run(ctx context.Context, cancel context.CancelFunc) error {
	ses.heartbeat.start(time.Now())
	readEnd := make(chan error, 1)
	go func() {
		readEnd <- ses.read()
		close(readEnd)
	}()
	writeEnd := make(chan error, 1)
	go func() {
		writeEnd <- ses.write(ctx)
		close(writeEnd)
	}()
	err := ses.watch(ctx, readEnd, writeEnd)
	cancel()
	ses.unblock()
	<-readEnd
	<-writeEnd
	return err
}

// watch waits until either direction ends, the peer times out or the context is
// cancelled.
func (ses *session) watch(ctx context.Context, readEnd, writeEnd <-chan error) error {
	ticker := time.NewTicker(ses.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case err := <-readEnd:
			return err
		case err := <-writeEnd:
			return err
		case now := <-ticker.C:
			if expired, limit := ses.heartbeat.timedOut(now, ses.timing); expired {
				return &HeartbeatTimeoutError{Timeout: limit}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (ses *session) read() error {
	for {
		frame, err := ses.stream.Receive()
		if err != nil {
			return err
		}
		ses.heartbeat.recordReceived(time.Now(), len(frame.GetEnvelopes()) > 0, ses.timing)
		ses.deliver(frame)
	}
}

func (ses *session) write(ctx context.Context) error {
	ticker := time.NewTicker(ses.timing.Heartbeat)
	defer ticker.Stop()
	opening := &peerpb.Frame{Header: headerToWire(ses.self())}
	if err := ses.stream.Send(opening); err != nil {
		return err
	}
	for {
		var batch []*peerpb.Envelope
		select {
		case out, open := <-ses.queue:
			if !open {
				return nil
			}
			batch = ses.collectBatch(out)
			ses.heartbeat.recordSent(time.Now(), ses.timing)
		case now := <-ticker.C:
			if !ses.heartbeat.due(now, ses.timing) {
				continue
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := ses.stream.Send(ses.newFrame(batch)); err != nil {
			return err
		}
	}
}

// collectBatch returns the first message and those that are already queued, up to
// maxBatch.
func (ses *session) collectBatch(first Outgoing) []*peerpb.Envelope {
	batch := []*peerpb.Envelope{toWire(first)}
	for len(batch) < maxBatch {
		select {
		case out, open := <-ses.queue:
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

// newFrame returns a frame without the host's name, which only the first frame of a
// session carries.
func (ses *session) newFrame(batch []*peerpb.Envelope) *peerpb.Frame {
	hea := ses.self()
	hea.Name = ""
	return &peerpb.Frame{Header: headerToWire(hea), Envelopes: batch}
}
