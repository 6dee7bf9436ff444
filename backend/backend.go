// Package backend speaks HTTP to the backend servers of plain services.
//
// # Usage
//
//	cli := backend.NewClient(backend.ClientConfig{})
//	res := cli.Call(ctx, backend.Call{Address: adr, ID: id, Method: "POST", Path: "/hours"}, sink)
//
// Method, path, query, end-to-end headers, body and status go through
// unchanged. A call is sent once: nothing in this package repeats it.
package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/transport"
)

// HeaderRequestID carries the request's id to the backend server.
const HeaderRequestID = "X-Request-Id"

// idleConnections is how many connections are kept to each backend server.
const idleConnections = 64

// chunkBytes is how much of an answer is passed on at once.
const chunkBytes = 32 << 10

// ClientConfig holds what a Client is made from. Zero stands for the defaults.
type ClientConfig struct {
	// SilenceTimeout is after how long without a byte a call counts as broken;
	// 0 stands for 30 s.
	SilenceTimeout time.Duration
}

// Client reaches backend servers.
type Client struct {
	cfg ClientConfig
	// kept reuses connections; fresh makes a new one for each call.
	kept  *http.Client
	fresh *http.Client
}

// NewClient returns a client without any connection yet.
func NewClient(cfg ClientConfig) *Client {
	if cfg.SilenceTimeout == 0 {
		cfg.SilenceTimeout = 30 * time.Second
	}
	return &Client{cfg: cfg, kept: httpClient(idleConnections), fresh: httpClient(0)}
}

func httpClient(idle int) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport.New(idle), CheckRedirect: noRedirect}
}

// Close drops the idle connections.
func (cli *Client) Close() {
	cli.kept.CloseIdleConnections()
	cli.fresh.CloseIdleConnections()
}

// Call is one call of a plain service.
type Call struct {
	Address netip.AddrPort
	ID      request.ID
	Method  string
	// Path is the escaped path, Query the raw query.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// Sink takes an answer as it comes: Head once, then Data.
type Sink interface {
	Head(status int, header http.Header)
	Data(data []byte)
}

// Result is how a call ended.
type Result struct {
	// Dispatched is false when the backend server certainly never got the call.
	Dispatched bool
	// Answered is set once it has answered at all.
	Answered bool
	// Whole is set when the answer came to its end.
	Whole     bool
	FirstByte time.Duration
	Total     time.Duration
	Err       error
}

// Call makes the call and streams the answer into the sink.
func (cli *Client) Call(ctx context.Context, cal Call, sink Sink) Result {
	start := time.Now()
	ctx, wat := transport.Watch(ctx, cli.cfg.SilenceTimeout)
	defer wat.Stop()
	req, err := newRequest(ctx, cal)
	if err != nil {
		return Result{Err: err}
	}
	rep, err := cli.choose(req).Do(req)
	if err != nil {
		return Result{Dispatched: !transport.NotSent(err), Err: transport.Cause(ctx, err)}
	}
	defer rep.Body.Close()
	res := Result{Dispatched: true, Answered: true, FirstByte: time.Since(start)}
	sink.Head(rep.StatusCode, EndToEnd(rep.Header))
	res.Err = pass(rep.Body, sink, wat.Heard)
	res.Whole = res.Err == nil
	res.Total = time.Since(start)
	return res
}

// choose takes a fresh connection for a call that the transport would by
// itself send again on a connection that had gone stale.
func (cli *Client) choose(req *http.Request) *http.Client {
	if req.Body == nil || req.Body == http.NoBody {
		return cli.fresh
	}
	return cli.kept
}

func newRequest(ctx context.Context, cal Call) (*http.Request, error) {
	url := "http://" + cal.Address.String() + cal.Path
	if cal.Query != "" {
		url += "?" + cal.Query
	}
	var body io.Reader = http.NoBody
	if len(cal.Body) > 0 {
		body = bytes.NewReader(cal.Body)
	}
	req, err := http.NewRequestWithContext(ctx, cal.Method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "make call")
	}
	// Without GetBody the transport never sends a body a second time.
	req.GetBody = nil
	req.Header = EndToEnd(cal.Header)
	req.Header.Del("Idempotency-Key")
	req.Header.Del("Authorization")
	req.Header.Set(HeaderRequestID, cal.ID.String())
	return req, nil
}

func pass(body io.Reader, sink Sink, heard func()) error {
	buf := make([]byte, chunkBytes)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			heard()
			sink.Data(buf[:count])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "answer broke off")
		}
	}
}

// hopByHop are the headers that are about one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without what is about one connection only.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}
