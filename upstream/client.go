package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/transport"
)

// liveness fails calls on dead connections early enough for a retry on another engine:
// clients abandon a silent stream after two seconds, and TCP recovers from three losses
// in a row on a bad link within one second.
var liveness = transport.Liveness{Limit: time.Second}

// probeTimeout bounds a probe of an engine's address. The host of a dead process refuses the
// connection within one round trip, and clients wait for the result.
const probeTimeout = 150 * time.Millisecond

// Client sends calls to engines and backend servers.
type Client struct {
	cfg   ClientConfig
	mutex sync.Mutex
	idle  map[Endpoint][]*connection
	// busy are the connections that carry a call.
	busy map[*connection]struct{}
	// held is what the calls hold of their answers beyond what each may hold by itself, in bytes.
	held atomic.Int64
	// probes merges concurrent probes of the same address.
	probes singleflight.Group
}

// NewClient returns a client without open connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dialer == nil {
		cfg.Dialer = liveness.Dialer(cfg.DialTimeout)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.HeadReceived == nil {
		cfg.HeadReceived = func(HeadReceived) {}
	}
	if cfg.DialFailed == nil {
		cfg.DialFailed = func(DialResult) {}
	}
	return &Client{cfg: cfg, idle: make(map[Endpoint][]*connection), busy: make(map[*connection]struct{})}
}

// Close closes the idle connections. Calls in progress continue.
func (cli *Client) Close() {
	cli.Retire(func(Endpoint) bool { return false })
}

// Retire closes the idle connections that have passed their idle limit, and those to endpoints
// for which keep returns false.
func (cli *Client) Retire(keep func(Endpoint) bool) {
	now := cli.cfg.Now()
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	for end, list := range cli.idle {
		var kept []*connection
		for _, con := range list {
			if keep(end) && now.Before(con.retireAt) {
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

// closeQuietly closes a connection that is no longer used and ignores the error.
func closeQuietly(con net.Conn) {
	_ = con.Close()
}

// takeIdle returns the most recently used reusable idle connection, or nil if there is none.
func (cli *Client) takeIdle(end Endpoint) *connection {
	for {
		con := cli.popIdle(end)
		if con == nil {
			return nil
		}
		if cli.cfg.Now().Before(con.retireAt) && con.isClean() {
			return con
		}
		closeQuietly(con)
	}
}

func (cli *Client) popIdle(end Endpoint) *connection {
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

func (cli *Client) putIdle(con *connection) {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.idle[con.endpoint] = append(cli.idle[con.endpoint], con)
}

func (cli *Client) dial(ctx context.Context, end Endpoint) (*connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, cli.cfg.DialTimeout)
	defer cancel()
	opened, err := cli.cfg.Dialer.DialContext(dialCtx, "tcp", end.Address.String())
	if err != nil {
		cli.cfg.DialFailed(dialResult(ctx, err))
		return nil, err
	}
	if cli.cfg.Dialed != nil {
		cli.cfg.Dialed()
	}
	return newConnection(opened, end), nil
}

// Connect returns a connection to the endpoint for one call: an idle one, or a new one. The error is a
// *NotSentError.
func (cli *Client) Connect(ctx context.Context, end Endpoint) (*Connected, error) {
	if con := cli.takeIdle(end); con != nil {
		return &Connected{client: cli, connection: con}, nil
	}
	con, err := cli.dial(ctx, end)
	if err != nil {
		return nil, &NotSentError{Address: end.Address, Cause: err}
	}
	return &Connected{client: cli, connection: con}, nil
}

// DialIdle opens a new connection to the endpoint and keeps it for a later call. The error is a
// *NotSentError.
func (cli *Client) DialIdle(ctx context.Context, end Endpoint) error {
	con, err := cli.dial(ctx, end)
	if err != nil {
		return &NotSentError{Address: end.Address, Cause: err}
	}
	(&Connected{client: cli, connection: con}).Release()
	return nil
}

// Connected is a connection that is reserved for one call. Either Do or Release must be called.
type Connected struct {
	client     *Client
	connection *connection
}

// Release returns the connection unused.
func (cnd *Connected) Release() {
	if cnd.connection.retireAt.IsZero() {
		cnd.connection.retireAt = cnd.client.cfg.Now().Add(defaultIdleLimit)
	}
	cnd.client.putIdle(cnd.connection)
}

// Do sends the call and returns the answer as soon as its head has arrived; the body is
// read from Answer.Body. Until the answer is closed, cancelling ctx aborts the call. The error
// is a *NotSentError if the call failed before writing began, so that no byte was sent, and a
// *BrokenError otherwise.
func (cli *Client) Do(ctx context.Context, cal Call) (*Answer, error) {
	cnd, err := cli.Connect(ctx, cal.Endpoint)
	if err != nil {
		return nil, err
	}
	return cnd.Do(ctx, cal)
}

// Do sends the call on the reserved connection, as Client.Do does.
func (cnd *Connected) Do(ctx context.Context, cal Call) (*Answer, error) {
	if err := cal.allowed(); err != nil {
		cnd.Release()
		return nil, &NotSentError{Address: cal.Address, Cause: err}
	}
	cli, con := cnd.client, cnd.connection
	cli.setBusy(con, true)
	exc := &exchange{client: cli, connection: con, written: make(chan struct{}), aborted: ctx.Done(), bodyBytes: len(cal.Body)}
	exc.stopAbort = context.AfterFunc(ctx, exc.abort)
	ans, err := exc.run(cal)
	if err != nil {
		exc.stopAbort()
		cli.setBusy(con, false)
		closeQuietly(con)
		return nil, &BrokenError{Address: cal.Address, Cause: cause(ctx, err)}
	}
	return ans, nil
}

// Probe is the result of probing an engine's address.
type Probe uint8

const (
	// ProbeUnknown means that the probe timed out or failed for another reason.
	ProbeUnknown Probe = iota
	// ProbeListens means that the address accepts connections: this run of the engine is alive,
	// or a later one has started.
	ProbeListens
	// ProbeRefused means that the connection was refused: the engine's process is dead.
	ProbeRefused
)

// String returns the result's name in the log and in the names of counters.
func (pro Probe) String() string {
	names := [...]string{"Unknown", "Listens", "Refused"}
	if int(pro) >= len(names) {
		return "Invalid"
	}
	return names[pro]
}

// Probe reports whether the endpoint accepts connections. Concurrent probes of one address
// share one connection attempt: when an engine crashes, all calls to it fail and probe its address
// at the same time.
func (cli *Client) Probe(ctx context.Context, end Endpoint) Probe {
	found, _, _ := cli.probes.Do(end.Address.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		con, err := cli.cfg.Dialer.DialContext(ctx, "tcp", end.Address.String())
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

// EndedByPeer reports whether a call failed because the peer closed or reset the connection,
// or because the engine was restarted.
func EndedByPeer(err error) bool {
	var ree *RunEndedError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.As(err, &ree)
}

// allowed returns the error of Check, or nil if the call may be sent.
func (cal Call) allowed() error {
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

// AbortEarlierRuns aborts the calls to earlier runs of the engine. Bytes of their answers that
// have already arrived are still read. A connection that received data after the later run
// started, or up to maxClockSkew before, stays open, since its peer may be the later run.
func (cli *Client) AbortEarlierRuns(later fleet.EngineID) {
	limit := later.StartTime.Add(-maxClockSkew)
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	for con := range cli.busy {
		if later.Follows(con.endpoint.Engine) && con.lastReceivedAt().Before(limit) {
			con.endRun()
		}
	}
}

func cause(ctx context.Context, err error) error {
	if cse := context.Cause(ctx); cse != nil {
		return cse
	}
	return err
}

// exchange is a request and its answer on one connection.
type exchange struct {
	client     *Client
	connection *connection
	// stopAbort detaches the exchange from the context; it returns false if abort was started.
	stopAbort func() bool
	// written is closed when the request has been written or writing has failed with writeErr.
	written  chan struct{}
	writeErr error
	// aborted is closed when the call is aborted.
	aborted <-chan struct{}
	// bodyBytes is the length of the request's body.
	bodyBytes int
}

// abort unblocks all reads and writes on the connection.
func (exc *exchange) abort() {
	// SetDeadline fails only on a closed connection.
	_ = exc.connection.SetDeadline(past)
}

func (exc *exchange) run(cal Call) (*Answer, error) {
	req := &http.Request{
		Method: cal.Method, URL: &url.URL{Opaque: cal.Target}, Host: cal.Host, Header: cal.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, given := req.Header["User-Agent"]; !given {
		// An empty value keeps net/http from sending its own User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	if len(cal.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(cal.Body))
		req.ContentLength = int64(len(cal.Body))
	}
	sent := exc.client.cfg.Now()
	if len(cal.Body) > smallBodyBytes {
		go exc.write(cal, req)
		return exc.read(cal, req, sent)
	}
	exc.write(cal, req)
	// After a failed write of a body, the answer is read nevertheless: the engine may have
	// answered and closed the connection without reading the body.
	if exc.writeErr != nil && len(cal.Body) == 0 {
		return nil, exc.writeErr
	}
	return exc.read(cal, req, sent)
}

// write writes the request.
func (exc *exchange) write(cal Call, req *http.Request) {
	defer close(exc.written)
	if cal.Written != nil {
		defer cal.Written()
	}
	exc.writeErr = req.Write(exc.connection)
}

// read reads answers until one carries the call's id, and skips informational answers and those to
// other requests. An answer with a status below 400 must carry an id. An answer with an error status
// and no id is accepted as the first one of a connection, since an engine that couldn't read the request
// doesn't know the id. Behind an earlier answer it may be a surplus one and says nothing of the call.
func (exc *exchange) read(cal Call, req *http.Request, sent time.Time) (*Answer, error) {
	var strayID string
	afterStray := false
	for range maxAnswersPerCall {
		//nolint:bodyclose // Answer.Close closes the connection or returns it to the idle ones.
		rep, err := exc.connection.readHead(req)
		if err != nil {
			return nil, err
		}
		if rep.StatusCode < http.StatusOK {
			continue
		}
		head := exc.client.cfg.Decode(rep.StatusCode, rep.Header)
		matches := head.ID == cal.ID || head.ID == "" && !exc.connection.answered && !afterStray
		exc.client.cfg.HeadReceived(HeadReceived{Endpoint: cal.Endpoint, Head: head, Sent: sent, Stray: !matches})
		if head.ID == "" && rep.StatusCode < http.StatusBadRequest {
			return nil, &StrayError{}
		}
		if matches {
			exc.connection.answered = true
			return exc.newAnswer(rep, head, afterStray), nil
		}
		strayID, afterStray = head.ID, true
		if _, err := io.Copy(io.Discard, io.LimitReader(rep.Body, maxStrayBytes)); err != nil {
			return nil, err
		}
	}
	return nil, &StrayError{ID: strayID}
}

func (exc *exchange) newAnswer(rep *http.Response, head call.AnswerHead, afterStray bool) *Answer {
	ans := &Answer{Status: rep.StatusCode, Header: rep.Header, Head: head, Body: rep.Body, response: rep, exchange: exc, afterStray: afterStray, allowance: exc.client.Allowance()}
	if ans.EndsWithConnection() {
		ans.Body = &unframedBody{reader: rep.Body, exchange: exc}
	}
	return ans
}

// Allowance returns the allowance of a call.
func (cli *Client) Allowance() *Allowance { return &Allowance{held: &cli.held} }

// Held returns what the calls hold of their answers beyond what each may hold by itself, in bytes.
func (cli *Client) Held() int64 { return cli.held.Load() }

// sent reports whether the request was written completely.
func (exc *exchange) sent() bool {
	select {
	case <-exc.written:
		return exc.writeErr == nil
	default:
		return false
	}
}
