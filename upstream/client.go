package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/transport"
)

// liveness ends calls on connections that went silent for good while there is
// still time to go on elsewhere: callers of a stream leave after two seconds, and
// three losses in a row on a bad link are over within one.
var liveness = transport.Liveness{Limit: time.Second}

// probeTimeout bounds the look whether an engine is there: a process that is gone refuses
// within a round trip, and callers wait meanwhile.
const probeTimeout = 150 * time.Millisecond

// Client reaches engines and backend servers.
type Client struct {
	cfg   ClientConfig
	mutex sync.Mutex
	idle  map[Endpoint][]*connection
	// busy are the connections that carry a call.
	busy map[*connection]struct{}
	// probes are the looks at engines that go on.
	probes singleflight.Group
}

// NewClient returns a client without any connection yet.
func NewClient(cfg ClientConfig) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Heard == nil {
		cfg.Heard = func(Heard) {}
	}
	return &Client{cfg: cfg, idle: make(map[Endpoint][]*connection), busy: make(map[*connection]struct{})}
}

// Close closes the idle connections.
func (cli *Client) Close() {
	cli.Retire(func(Endpoint) bool { return false })
}

// Retire closes the idle connections that have become old, and all to endpoints that
// aren't to be kept.
func (cli *Client) Retire(keep func(Endpoint) bool) {
	now := cli.cfg.Now()
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	for end, list := range cli.idle {
		var kept []*connection
		for _, con := range list {
			if keep(end) && now.Before(con.retire) {
				kept = append(kept, con)
				continue
			}
			closeQuietly(con)
		}
		if len(kept) == 0 {
			delete(cli.idle, end)
			continue
		}
		cli.idle[end] = kept
	}
}

// closeQuietly closes a connection whose fate matters to nobody any more.
func closeQuietly(con net.Conn) {
	_ = con.Close()
}

// take returns an idle connection that is sound, the youngest first.
func (cli *Client) take(end Endpoint) *connection {
	for {
		con := cli.pop(end)
		if con == nil {
			return nil
		}
		if cli.cfg.Now().Before(con.retire) && con.quiet() {
			con.reused = true
			return con
		}
		closeQuietly(con)
	}
}

func (cli *Client) pop(end Endpoint) *connection {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	list := cli.idle[end]
	if len(list) == 0 {
		return nil
	}
	con := list[len(list)-1]
	cli.idle[end] = list[:len(list)-1]
	return con
}

func (cli *Client) put(con *connection) {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.idle[con.endpoint] = append(cli.idle[con.endpoint], con)
}

func (cli *Client) dial(ctx context.Context, end Endpoint) (*connection, error) {
	opened, err := liveness.Dialer(cli.cfg.DialTimeout).DialContext(ctx, "tcp", end.Address.String())
	if err != nil {
		return nil, err
	}
	if cli.cfg.Dialed != nil {
		cli.cfg.Dialed()
	}
	return newConnection(opened, end), nil
}

// Do sends the call and returns the answer's head with its body to be read. The
// context ends the answer too, until Close.
func (cli *Client) Do(ctx context.Context, cal Call) (*Answer, error) {
	con := cli.take(cal.Endpoint)
	if con == nil {
		var err error
		if con, err = cli.dial(ctx, cal.Endpoint); err != nil {
			return nil, &NotSentError{Address: cal.Address, Cause: err}
		}
	}
	if err := cal.check(); err != nil {
		// Nothing was written: whoever is next to ask needn't make one.
		if con.retire.IsZero() {
			con.retire = cli.cfg.Now().Add(defaultIdleLimit)
		}
		cli.put(con)
		return nil, &NotSentError{Address: cal.Address, Cause: err}
	}
	cli.setBusy(con, true)
	exc := &exchange{client: cli, connection: con, written: make(chan error, 1)}
	exc.stop = context.AfterFunc(ctx, exc.abort)
	ans, err := exc.run(cal)
	if err != nil {
		exc.stop()
		cli.setBusy(con, false)
		closeQuietly(con)
		return nil, &BrokenError{Address: cal.Address, Cause: cause(ctx, err)}
	}
	return ans, nil
}

// Probe is what a look at an engine's address shows.
type Probe uint8

const (
	// ProbeUnknown shows nothing: nobody answered in time.
	ProbeUnknown Probe = iota
	// ProbeListens shows that something listens there, the engine or a later one.
	ProbeListens
	// ProbeRefused shows that nothing listens there: its process is gone.
	ProbeRefused
)

// Probe looks whether anything listens at the endpoint. Those who ask at the same time
// share one look: when an engine ends, all that it ran ask at once.
func (cli *Client) Probe(ctx context.Context, end Endpoint) Probe {
	found, _, _ := cli.probes.Do(end.Address.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		con, err := liveness.Dialer(probeTimeout).DialContext(ctx, "tcp", end.Address.String())
		switch {
		case err == nil:
			closeQuietly(con)
			return ProbeListens, nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return ProbeRefused, nil
		default:
			return ProbeUnknown, nil
		}
	})
	pro, _ := found.(Probe)
	return pro
}

// EndedByPeer reports whether a call failed since the other end closed or reset its
// connection, or is known to have ended.
func EndedByPeer(err error) bool {
	var later *RunEndedError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.As(err, &later)
}

// check returns why the call may not be made any more; nil while it may.
func (cal Call) check() error {
	if cal.Check == nil {
		return nil
	}
	return cal.Check()
}

func (cli *Client) setBusy(con *connection, busy bool) {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	if busy {
		cli.busy[con] = struct{}{}
		return
	}
	delete(cli.busy, con)
}

// EndFormer ends the calls at former runs of the engine: what has arrived of their
// answers is read, and nothing more is waited for. A connection that was heard of about
// when the later run started, or since, is left: it may lead to that one.
func (cli *Client) EndFormer(later fleet.EngineID) {
	limit := later.Born.Add(-bornMargin)
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	for con := range cli.busy {
		if later.Follows(con.endpoint.Engine) && con.heardAt().Before(limit) {
			con.end()
		}
	}
}

func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client     *Client
	connection *connection
	// stop ends the watch on the context.
	stop func() bool
	// written brings the end of the request's writing.
	written chan error
}

// abort unblocks whatever waits on the connection.
func (exc *exchange) abort() {
	// A connection that takes no deadline is closed already.
	_ = exc.connection.SetDeadline(past)
}

func (exc *exchange) run(cal Call) (*Answer, error) {
	req := &http.Request{
		Method: cal.Method, URL: &url.URL{Opaque: cal.Target}, Host: cal.Host, Header: cal.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, given := req.Header["User-Agent"]; !given {
		// An empty value keeps the library from naming itself.
		req.Header["User-Agent"] = []string{""}
	}
	if len(cal.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(cal.Body))
		req.ContentLength = int64(len(cal.Body))
	}
	sent := exc.client.cfg.Now()
	write := func() error {
		if cal.Written != nil {
			defer cal.Written()
		}
		return req.Write(exc.connection)
	}
	if len(cal.Body) > smallBodyBytes {
		go func() { exc.written <- write() }()
	} else {
		err := write()
		exc.written <- err
		if err != nil && len(cal.Body) == 0 {
			return nil, err
		}
	}
	return exc.read(cal, req, sent)
}

// read reads answers until one belongs to the call. A success must name it; a
// failure without a name is taken for the engine's own that couldn't read it.
func (exc *exchange) read(cal Call, req *http.Request, sent time.Time) (*Answer, error) {
	var stray string
	for range maxStray {
		//nolint:bodyclose // Answer.Close ends the whole connection or keeps it.
		rep, err := http.ReadResponse(exc.connection.reader, req)
		if err != nil {
			return nil, err
		}
		if rep.StatusCode < http.StatusOK {
			continue
		}
		head := exc.client.cfg.Decode(rep.StatusCode, rep.Header)
		own := head.ID == "" || head.ID == cal.ID
		exc.client.cfg.Heard(Heard{Endpoint: cal.Endpoint, Head: head, Sent: sent, Stray: !own})
		if head.ID == "" && rep.StatusCode < http.StatusBadRequest {
			return nil, &StrayError{}
		}
		if own {
			return &Answer{Status: rep.StatusCode, Header: rep.Header, Head: head, Body: rep.Body, reply: rep, exchange: exc, strays: stray != ""}, nil
		}
		stray = head.ID
		if _, err := io.Copy(io.Discard, io.LimitReader(rep.Body, maxStrayBytes)); err != nil {
			return nil, err
		}
	}
	return nil, &StrayError{ID: stray}
}

// Answer is an engine's answer; its body is read by the caller.
type Answer struct {
	Status int
	Header http.Header
	Head   call.AnswerHead
	// Body ends with io.EOF only when the answer is whole.
	Body io.Reader

	reply    *http.Response
	exchange *exchange
	whole    bool
	strays   bool
}

// ReadWhole reads the body to its end. It returns an *AnswerTooLargeError for one
// over the limit in bytes, of which nothing may be passed on as a whole.
func (ans *Answer) ReadWhole(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(ans.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	ans.Whole()
	return body, nil
}

// Whole says that the body was read to its end, so that the connection may be
// used again.
func (ans *Answer) Whole() {
	ans.whole = true
}

// Close ends the answer. Unless it was whole, its connection is closed, which
// has most engines stop their work on it.
func (ans *Answer) Close() {
	exc := ans.exchange
	unbroken := exc.stop()
	exc.client.setBusy(exc.connection, false)
	if !unbroken || !ans.whole || ans.strays || ans.reply.Close || !ans.framed() || !exc.sent() {
		closeQuietly(exc.connection)
		return
	}
	limit := defaultIdleLimit
	if ans.Head.IdleLimit > 0 {
		limit = ans.Head.IdleLimit - idleMargin
	}
	exc.connection.retire = exc.client.cfg.Now().Add(limit)
	if limit <= 0 || exc.connection.reader.Buffered() > 0 {
		closeQuietly(exc.connection)
		return
	}
	exc.client.put(exc.connection)
}

// framed reports whether the answer's end was told, rather than marked by the
// end of its connection.
func (ans *Answer) framed() bool {
	return ans.reply.ContentLength >= 0 || len(ans.reply.TransferEncoding) > 0
}

// sent reports whether the whole request was written.
func (exc *exchange) sent() bool {
	select {
	case err := <-exc.written:
		return err == nil
	default:
		return false
	}
}
