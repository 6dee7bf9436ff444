package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/peer/peerpb/peerpbconnect"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/transport"
	"lynxwell.dev/lynxwell/view"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Security Security
	Timing   Timing
	// Self returns this host's header, which is sent with every frame and unary
	// request.
	Self func() Header
	// Meter counts the bytes on the client's connections; nil disables counting.
	Meter *Meter
	// Dialer opens the connections; nil for the default one.
	Dialer Dialer
}

// Client sends requests and opens sessions to the other hosts. It is safe for
// concurrent use.
type Client struct {
	cfg   ClientConfig
	http  *http.Client
	mutex sync.Mutex
	stubs map[netip.AddrPort]peerpbconnect.PeerServiceClient
}

// State is the answer to FetchState: views, oldest first, and a configuration's
// head and chunks in the encoding in which the platform stores them. Chunks maps the
// digest of each chunk to its data.
type State struct {
	Header Header
	Views  [][]byte
	Head   []byte
	Chunks map[string][]byte
}

// NewClient returns a client. It connects to a host on first use.
func NewClient(cfg ClientConfig) *Client {
	var protocols http.Protocols
	protocols.SetHTTP2(cfg.Security.TLS != nil)
	protocols.SetUnencryptedHTTP2(cfg.Security.TLS == nil)
	if cfg.Meter == nil {
		cfg.Meter = &Meter{}
	}
	if cfg.Dialer == nil {
		cfg.Dialer = liveness.Dialer(dialTimeout)
	}
	httpTransport := &http.Transport{
		DialContext:     cfg.Meter.dialWith(cfg.Dialer),
		Protocols:       &protocols,
		TLSClientConfig: cfg.Security.TLS,
		IdleConnTimeout: time.Minute,
		HTTP2:           pingConfig(cfg.Timing),

		MaxResponseHeaderBytes: transport.MaxHeadBytes,
	}
	return &Client{
		cfg:   cfg,
		http:  &http.Client{Transport: httpTransport},
		stubs: make(map[netip.AddrPort]peerpbconnect.PeerServiceClient),
	}
}

// pingConfig returns the HTTP/2 settings that close an unresponsive connection. The
// end of a session leaves its connection in the pool. Without pings, all later sessions
// would be opened on that connection even if the peer no longer responds on it. A ping
// is sent after half of the session timeout without a frame, so a busy session needs
// none.
func pingConfig(tim Timing) *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: tim.Timeout / 2, PingTimeout: tim.Timeout}
}

// Close closes idle connections.
func (cli *Client) Close() {
	cli.http.CloseIdleConnections()
}

func (cli *Client) stub(adr netip.AddrPort) peerpbconnect.PeerServiceClient {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	stub := cli.stubs[adr]
	if stub == nil {
		scheme := "http://"
		if cli.cfg.Security.TLS != nil {
			scheme = "https://"
		}
		stub = peerpbconnect.NewPeerServiceClient(cli.http, scheme+adr.String(), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes))
		cli.stubs[adr] = stub
	}
	return stub
}

// Received is one message of a frame with the frame's header. Message is nil where
// only the header is delivered.
type Received struct {
	Header  Header
	Message reservation.Message
	Load    reservation.Load
}

// Session runs one session with the member and blocks until the session ends. It
// calls onUp once, at the first frame with the expected epoch. For each frame it calls
// deliver with a nil message for the header, then with each message. It returns an
// *EpochError if the member has another epoch, and a *HeartbeatTimeoutError if no frame
// arrives in time.
func (cli *Client) Session(ctx context.Context, mem view.Member, que *Queue, onUp func(), deliver func(Received)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := cli.stub(mem.PeerAddress).Session(ctx)
	cli.cfg.Security.setAuthorization(stream.RequestHeader())
	var mismatch *EpochError
	first := true
	ses := &session{stream: clientStream{stream}, queue: que.out, timing: cli.cfg.Timing, self: cli.cfg.Self}
	// The HTTP/2 transport ignores the context while it waits for request data.
	ses.unblock = func() { _ = stream.CloseRequest() }
	ses.deliver = func(frame *peerpb.Frame) {
		hea := headerFromWire(frame.GetHeader())
		if hea.Epoch != mem.Epoch {
			mismatch = &EpochError{Want: mem.Epoch, Got: hea.Epoch}
			cancel()
			return
		}
		if first {
			first = false
			onUp()
		}
		deliverFrame(frame, deliver)
	}
	err := ses.run(ctx, cancel)
	if mismatch != nil {
		return mismatch
	}
	return err
}

// clientStream adapts the client's end of a stream to the stream interface.
type clientStream struct {
	*connect.BidiStreamForClient[peerpb.Frame, peerpb.Frame]
}

// deliverFrame delivers a frame's header and then each of its messages. It skips
// messages of unknown kinds.
func deliverFrame(frame *peerpb.Frame, deliver func(Received)) {
	hea := headerFromWire(frame.GetHeader())
	deliver(Received{Header: hea})
	for _, env := range frame.GetEnvelopes() {
		msg, loa := fromWire(env)
		if msg != nil {
			deliver(Received{Header: hea, Message: msg, Load: loa})
		}
	}
}

func newRequest[T any](cli *Client, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	cli.cfg.Security.setAuthorization(req.Header())
	return req
}

// Fence sends a fencing request for one request id to the member and returns the
// member's answer.
func (cli *Client) Fence(ctx context.Context, mem view.Member, fen reservation.Fence) (reservation.FenceAnswer, error) {
	msg := &peerpb.FenceRequest{Header: headerToWire(cli.cfg.Self()), Id: idToWire(fen.ID), Ballot: ballotToWire(fen.Ballot)}
	res, err := cli.stub(mem.PeerAddress).Fence(ctx, newRequest(cli, msg))
	if err != nil {
		return reservation.FenceAnswer{}, err
	}
	if err := checkEpoch(mem, res.Msg.GetHeader()); err != nil {
		return reservation.FenceAnswer{}, err
	}
	return fenceAnswerFromWire(res.Msg), nil
}

func checkEpoch(mem view.Member, whe *peerpb.Header) error {
	if got := request.Epoch(whe.GetEpoch()); got != mem.Epoch {
		return &EpochError{Want: mem.Epoch, Got: got}
	}
	return nil
}

// Vouch sends the member an attestation of the requests that a lost coordinator epoch
// had granted or closed.
func (cli *Client) Vouch(ctx context.Context, mem view.Member, att reservation.Attestation) error {
	msg := &peerpb.VouchRequest{
		Header: headerToWire(cli.cfg.Self()), Key: attestationKeyToWire(att.AttestationKey),
		Sequence: att.Sequence, Records: recordsToWire(att.Records),
	}
	_, err := cli.stub(mem.PeerAddress).Vouch(ctx, newRequest(cli, msg))
	return err
}

// Unvouch revokes an attestation that was sent to the member.
func (cli *Client) Unvouch(ctx context.Context, mem view.Member, rev reservation.Revocation) (reservation.RevocationAnswer, error) {
	msg := &peerpb.UnvouchRequest{Header: headerToWire(cli.cfg.Self()), Key: attestationKeyToWire(rev.AttestationKey), Sequence: rev.Sequence}
	res, err := cli.stub(mem.PeerAddress).Unvouch(ctx, newRequest(cli, msg))
	if err != nil {
		return reservation.RevocationAnswer{}, err
	}
	return reservation.RevocationAnswer{AttestationKey: attestationKeyFromWire(res.Msg.GetKey()), Revoked: res.Msg.GetReleased()}, nil
}

// Handover transfers the ledger of this host, which is stopping, to the member.
func (cli *Client) Handover(ctx context.Context, mem view.Member, han reservation.Handover) error {
	msg := &peerpb.HandoverRequest{
		Header: headerToWire(cli.cfg.Self()), Stopped: epochsToWire(han.Stopped), Records: recordsToWire(han.Records),
		Floors: make(map[uint64]uint64, len(han.Floors)),
	}
	for epo, floor := range han.Floors {
		msg.Floors[uint64(epo)] = floor
	}
	_, err := cli.stub(mem.PeerAddress).Handover(ctx, newRequest(cli, msg))
	return err
}

// FetchState fetches the views with numbers of at least viewsFrom and, if the peer's
// configuration is newer than aboveRevision, that configuration.
func (cli *Client) FetchState(ctx context.Context, adr netip.AddrPort, viewsFrom, aboveRevision uint64) (State, error) {
	msg := &peerpb.FetchStateRequest{Header: headerToWire(cli.cfg.Self()), ViewsFrom: viewsFrom, AboveRevision: aboveRevision}
	res, err := cli.stub(adr).FetchState(ctx, newRequest(cli, msg))
	if err != nil {
		return State{}, err
	}
	return State{
		Header: headerFromWire(res.Msg.GetHeader()), Views: res.Msg.GetViews(),
		Head: res.Msg.GetHead(), Chunks: res.Msg.GetParts(),
	}, nil
}

// Probe checks that the member responds and has the expected epoch, and returns its
// header.
func (cli *Client) Probe(ctx context.Context, mem view.Member) (Header, error) {
	res, err := cli.stub(mem.PeerAddress).Probe(ctx, newRequest(cli, &peerpb.ProbeRequest{Header: headerToWire(cli.cfg.Self())}))
	if err != nil {
		return Header{}, err
	}
	if err := checkEpoch(mem, res.Msg.GetHeader()); err != nil {
		return Header{}, err
	}
	return headerFromWire(res.Msg.GetHeader()), nil
}
