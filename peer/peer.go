// Package peer implements the protocol between hosts, on connect-go.
//
// # Usage
//
// A host serves its peers with a Server and calls them with a Client:
//
//	srv := peer.NewServer(peer.ServerConfig{Backend: hos, Security: sec, Timing: tim})
//	cli := peer.NewClient(peer.ClientConfig{Security: sec, Timing: tim, Self: hos.Header})
//	err := cli.Session(ctx, member, queue, onUp, deliver) // blocks until the session ends
//
// A session is one long-lived bidirectional stream between a gateway and a
// coordinator, on which each side sends its messages batched into frames. Every frame
// and every unary request carries a Header with the sender's epoch, view and
// configuration revision. If a shared key is configured, requests without it are
// rejected with status 401.
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

// queueLen is the maximum number of messages queued for one session. A session whose
// peer falls further behind is closed.
const queueLen = 512

// maxBatch is the maximum number of messages in one frame.
const maxBatch = 256

// compressMinBytes is the minimum size of compressed messages. Compression makes
// smaller messages larger.
const compressMinBytes = 4096

// maxMessageBytes is the maximum size of one message between hosts.
const maxMessageBytes = 8 << 20

// Header identifies the sending host, with the versions of its view and configuration.
type Header struct {
	Epoch    request.Epoch
	Name     string
	View     uint64
	Revision uint64
	Window   uint64
}

// Outgoing is a message to send, with the load that is reported with it.
type Outgoing struct {
	Message reservation.Message
	Load    reservation.Load
}

// Timing holds the heartbeat interval and the timeout of sessions.
type Timing struct {
	// Heartbeat is the interval at which the coordinator sends heartbeats on a busy
	// session.
	Heartbeat time.Duration
	// Timeout is how long a gateway waits for a frame on a busy session before the
	// session counts as lost.
	Timeout time.Duration
}

// idleFactor multiplies the heartbeat interval and the timeout of an idle session. On a busy
// session, the gateway's heartbeat interval and the coordinator's timeout are multiplied as
// well.
const idleFactor = 6

// busyHeartbeats is how many heartbeat intervals beyond the timeout a session stays
// busy after a message.
const busyHeartbeats = 1

// Security configures how hosts authenticate one another.
type Security struct {
	// Key is the bearer key that all hosts share. It may be empty if TLS is set.
	Key string
	// TLS enables mutual TLS; nil disables TLS.
	TLS *tls.Config
}

func (sec Security) setAuthorization(header http.Header) {
	header.Set("Authorization", "Bearer "+sec.Key)
}

func (sec Security) isAuthorized(header http.Header) bool {
	if sec.TLS != nil && sec.Key == "" {
		// The TLS handshake has verified the certificates of both sides.
		return true
	}
	got := []byte(header.Get("Authorization"))
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+sec.Key)) == 1
}

// HeartbeatTimeoutError reports a session that ended because no frame arrived in time.
type HeartbeatTimeoutError struct {
	// Timeout is the timeout that was exceeded.
	Timeout time.Duration
}

// Error implements error.
func (hte *HeartbeatTimeoutError) Error() string {
	return fmt.Sprintf("peer was silent for %s", hte.Timeout)
}

// EpochError reports a peer whose epoch isn't the expected one, for example because
// the host has restarted.
type EpochError struct {
	Want request.Epoch
	Got  request.Epoch
}

// Error implements error.
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
