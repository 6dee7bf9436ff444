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
	"lynxwell.dev/lynxwell/view"
)

// ClientConfig holds what a Client is made from.
type ClientConfig struct {
	Security Security
	Timing   Timing
	// Self returns the header to send.
	Self func() Header
	// Meter counts the bytes; nil counts none.
	Meter *Meter
}

// Client reaches the other hosts.
type Client struct {
	cfg   ClientConfig
	http  *http.Client
	mutex sync.Mutex
	stubs map[netip.AddrPort]peerpbconnect.PeerServiceClient
}

// State is what a host fetches from a peer: views, oldest first, and a
// configuration's head and parts as they stand on the platform.
type State struct {
	Header Header
	Views  [][]byte
	Head   []byte
	Parts  map[string][]byte
}

// NewClient returns a client without any connection yet.
func NewClient(cfg ClientConfig) *Client {
	var protocols http.Protocols
	protocols.SetHTTP2(cfg.Security.TLS != nil)
	protocols.SetUnencryptedHTTP2(cfg.Security.TLS == nil)
	if cfg.Meter == nil {
		cfg.Meter = &Meter{}
	}
	transport := &http.Transport{
		DialContext:     cfg.Meter.dial,
		Protocols:       &protocols,
		TLSClientConfig: cfg.Security.TLS,
		IdleConnTimeout: time.Minute,
		HTTP2:           pings(cfg.Timing),
	}
	return &Client{
		cfg:   cfg,
		http:  &http.Client{Transport: transport},
		stubs: make(map[netip.AddrPort]peerpbconnect.PeerServiceClient),
	}
}

// pings has a connection that fell silent closed: a lost session alone leaves it
// in use, and every later one would be opened on it. Sessions that beat need no
// ping; one goes out after half the time that a session may be silent.
func pings(tim Timing) *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: tim.Timeout / 2, PingTimeout: tim.Timeout}
}

// Close drops the connections that aren't in use.
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
		stub = peerpbconnect.NewPeerServiceClient(cli.http, scheme+adr.String(), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom))
		cli.stubs[adr] = stub
	}
	return stub
}

// Received is a frame's content.
type Received struct {
	Header  Header
	Message reservation.Message
	Load    reservation.Load
}

// Session runs one session with the member until it is lost. up is called once
// the member has answered with the epoch meant; deliver is called for each
// message, and with a nil message for each frame's header.
func (cli *Client) Session(ctx context.Context, mem view.Member, que *Queue, up func(), deliver func(Received)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := cli.stub(mem.PeerAddress).Session(ctx)
	cli.cfg.Security.sign(stream.RequestHeader())
	var wrong *EpochError
	first := true
	pum := &pump{stream: clientStream{stream}, queue: que.out, timing: cli.cfg.Timing, self: cli.cfg.Self}
	// The transport doesn't look at the context while it waits for more to send.
	pum.unblock = func() { _ = stream.CloseRequest() }
	pum.deliver = func(frame *peerpb.Frame) {
		hea := headerFromWire(frame.GetHeader())
		if hea.Epoch != mem.Epoch {
			wrong = &EpochError{Want: mem.Epoch, Got: hea.Epoch}
			cancel()
			return
		}
		if first {
			first = false
			up()
		}
		spread(frame, deliver)
	}
	err := pum.run(ctx, cancel)
	if wrong != nil {
		return wrong
	}
	return err
}

// clientStream gives the client's end the shape of the server's.
type clientStream struct {
	*connect.BidiStreamForClient[peerpb.Frame, peerpb.Frame]
}

// spread delivers a frame's header and then each of its messages.
func spread(frame *peerpb.Frame, deliver func(Received)) {
	hea := headerFromWire(frame.GetHeader())
	deliver(Received{Header: hea})
	for _, env := range frame.GetEnvelopes() {
		msg, loa := fromWire(env)
		if msg != nil {
			deliver(Received{Header: hea, Message: msg, Load: loa})
		}
	}
}

func signed[T any](cli *Client, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	cli.cfg.Security.sign(req.Header())
	return req
}

// Fence asks the member about a request.
func (cli *Client) Fence(ctx context.Context, mem view.Member, fen reservation.Fence) (reservation.FenceAnswer, error) {
	msg := &peerpb.FenceRequest{Header: headerToWire(cli.cfg.Self()), Id: idToWire(fen.ID), Ballot: ballotToWire(fen.Ballot)}
	res, err := cli.stub(mem.PeerAddress).Fence(ctx, signed(cli, msg))
	if err != nil {
		return reservation.FenceAnswer{}, err
	}
	if err := sameEpoch(mem, res.Msg.GetHeader()); err != nil {
		return reservation.FenceAnswer{}, err
	}
	return answerFromWire(res.Msg), nil
}

func sameEpoch(mem view.Member, whe *peerpb.Header) error {
	if got := request.Epoch(whe.GetEpoch()); got != mem.Epoch {
		return &EpochError{Want: mem.Epoch, Got: got}
	}
	return nil
}

// Vouch tells the member what a lost coordinator epoch had granted.
func (cli *Client) Vouch(ctx context.Context, mem view.Member, vou reservation.Vouch) error {
	msg := &peerpb.VouchRequest{
		Header: headerToWire(cli.cfg.Self()), Key: keyToWire(vou.VouchKey),
		Sequence: vou.Sequence, Records: recordsToWire(vou.Records),
	}
	_, err := cli.stub(mem.PeerAddress).Vouch(ctx, signed(cli, msg))
	return err
}

// Unvouch takes a vouch back.
func (cli *Client) Unvouch(ctx context.Context, mem view.Member, unv reservation.Unvouch) (reservation.UnvouchAnswer, error) {
	msg := &peerpb.UnvouchRequest{Header: headerToWire(cli.cfg.Self()), Key: keyToWire(unv.VouchKey), Sequence: unv.Sequence}
	res, err := cli.stub(mem.PeerAddress).Unvouch(ctx, signed(cli, msg))
	if err != nil {
		return reservation.UnvouchAnswer{}, err
	}
	return reservation.UnvouchAnswer{VouchKey: keyFromWire(res.Msg.GetKey()), Released: res.Msg.GetReleased()}, nil
}

// Handover gives the member the ledger of this stopping host.
func (cli *Client) Handover(ctx context.Context, mem view.Member, han reservation.Handover) error {
	msg := &peerpb.HandoverRequest{
		Header: headerToWire(cli.cfg.Self()), Stopped: epochsToWire(han.Stopped), Records: recordsToWire(han.Records),
		Floors: make(map[uint64]uint64, len(han.Floors)),
	}
	for epo, floor := range han.Floors {
		msg.Floors[uint64(epo)] = floor
	}
	_, err := cli.stub(mem.PeerAddress).Handover(ctx, signed(cli, msg))
	return err
}

// FetchState fetches views from a number on and, if the peer has one above the
// revision, its configuration.
func (cli *Client) FetchState(ctx context.Context, adr netip.AddrPort, viewsFrom, aboveRevision uint64) (State, error) {
	msg := &peerpb.FetchStateRequest{Header: headerToWire(cli.cfg.Self()), ViewsFrom: viewsFrom, AboveRevision: aboveRevision}
	res, err := cli.stub(adr).FetchState(ctx, signed(cli, msg))
	if err != nil {
		return State{}, err
	}
	return State{
		Header: headerFromWire(res.Msg.GetHeader()), Views: res.Msg.GetViews(),
		Head: res.Msg.GetHead(), Parts: res.Msg.GetParts(),
	}, nil
}

// Probe asks whether the member lives, and returns its header.
func (cli *Client) Probe(ctx context.Context, mem view.Member) (Header, error) {
	res, err := cli.stub(mem.PeerAddress).Probe(ctx, signed(cli, &peerpb.ProbeRequest{Header: headerToWire(cli.cfg.Self())}))
	if err != nil {
		return Header{}, err
	}
	if err := sameEpoch(mem, res.Msg.GetHeader()); err != nil {
		return Header{}, err
	}
	return headerFromWire(res.Msg.GetHeader()), nil
}
