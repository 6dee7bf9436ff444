// Package peer speaks the connect-go protocol between the hosts of the system.
//
// # Usage
//
// A host serves the others with a Server, and reaches each of them with a
// Client:
//
//	srv := peer.NewServer(peer.ServerConfig{Backend: hos, Security: sec, Timing: tim})
//	cli := peer.NewClient(peer.ClientConfig{Security: sec, Timing: tim, Self: hos.Header})
//	err := cli.Session(ctx, member, queue, deliver) // until it is lost
//
// A session is one long-lived stream: a gateway's messages go one way and a
// coordinator's the other, batched into frames. Every frame and every question
// carries the sender's epoch, view and configuration revision. A peer without
// the shared key gets no answer.
package peer

import (
	"crypto/subtle"
	"crypto/tls"
	"fmt"
	"net/http"
	"time"

	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// queueLen bounds the messages that wait for one session; a peer that falls
// further behind loses the session.
const queueLen = 512

// maxBatch bounds the messages of one frame.
const maxBatch = 256

// compressFrom is the size from which messages are compressed: small ones only
// grow by it.
const compressFrom = 4096

// maxMessageBytes bounds one message between hosts.
const maxMessageBytes = 8 << 20

// Header says who speaks, and how far its view and configuration are.
type Header struct {
	Epoch    request.Epoch
	Name     string
	View     uint64
	Revision uint64
	Window   uint64
}

// Outgoing is a message with the load that it tells.
type Outgoing struct {
	Message reservation.Message
	Load    reservation.Load
}

// Timing holds the clocks of sessions.
type Timing struct {
	// Heartbeat is how often an idle session says that it lives.
	Heartbeat time.Duration
	// Timeout is after how much silence a session counts as lost.
	Timeout time.Duration
}

// idleFactor is how much slower a session beats, and how much longer it may be
// silent, while nothing but heartbeats travels on it.
const idleFactor = 6

// idleAfter is how many heartbeats beyond the timeout a session stays busy after
// a message.
const idleAfter = 1

// Security says how hosts know one another.
type Security struct {
	// Key is shared by all hosts; it may be empty with TLS.
	Key string
	// TLS, when set, has both sides show a certificate.
	TLS *tls.Config
}

func (sec Security) sign(header http.Header) {
	header.Set("Authorization", "Bearer "+sec.Key)
}

func (sec Security) admits(header http.Header) bool {
	if sec.TLS != nil && sec.Key == "" {
		// Both sides have shown their certificates by now.
		return true
	}
	given := []byte(header.Get("Authorization"))
	return subtle.ConstantTimeCompare(given, []byte("Bearer "+sec.Key)) == 1
}

// SilenceError reports a session whose peer said nothing for too long.
type SilenceError struct {
	// After is how long it was silent.
	After time.Duration
}

// Error names the time of silence.
func (ser *SilenceError) Error() string {
	return fmt.Sprintf("peer was silent for %s", ser.After)
}

// EpochError reports a peer that isn't the process that was meant.
type EpochError struct {
	Want request.Epoch
	Got  request.Epoch
}

// Error names both epochs.
func (eer *EpochError) Error() string {
	return fmt.Sprintf("peer has epoch %s, want %s", eer.Got, eer.Want)
}

func headerToWire(hea Header) *peerpb.Header {
	return &peerpb.Header{
		Epoch: uint64(hea.Epoch), View: hea.View, Revision: hea.Revision, Window: hea.Window, Name: hea.Name,
	}
}

func headerFromWire(whe *peerpb.Header) Header {
	return Header{
		Epoch: request.Epoch(whe.GetEpoch()), Name: whe.GetName(),
		View: whe.GetView(), Revision: whe.GetRevision(), Window: whe.GetWindow(),
	}
}
