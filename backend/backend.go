// Package backend is the HTTP client for the backend servers of plain services.
//
// # Usage
//
//	cli := backend.NewClient(backend.ClientConfig{})
//	res := cli.Call(ctx, backend.Call{Address: adr, ID: id, Method: "POST", Path: "/hours"}, sink)
//
// Method, path, query, end-to-end headers, body and status are passed through
// unchanged, except that the headers Idempotency-Key and Authorization are removed
// and X-Request-Id is set. A call is sent at most once: this package never retries.
package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/transport"
)

// HeaderRequestID is the header with the request's id.
const HeaderRequestID = "X-Request-Id"

// maxIdleConnections bounds the idle connections to each backend server.
const maxIdleConnections = 64

// chunkBytes bounds the size of the parts in which an answer is passed to the sink.
const chunkBytes = 32 << 10

// ClientConfig configures a Client. Zero values mean the defaults.
type ClientConfig struct {
	// SilenceTimeout is the longest time without received data before a call is
	// aborted; 0 means 30 s.
	SilenceTimeout time.Duration
}

// Client sends calls to backend servers.
type Client struct {
	cfg ClientConfig
	// pooled reuses connections; unpooled opens a new one for each call.
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client without open connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.SilenceTimeout == 0 {
		cfg.SilenceTimeout = 30 * time.Second
	}
	return &Client{cfg: cfg, pooled: httpClient(maxIdleConnections), unpooled: httpClient(0)}
}

func httpClient(maxIdle int) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport.Checked(transport.New(maxIdle)), CheckRedirect: noRedirect}
}

// Close closes the idle connections.
func (cli *Client) Close() {
	cli.pooled.CloseIdleConnections()
	cli.unpooled.CloseIdleConnections()
}

// Call is a call to a plain service.
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

// Sink receives an answer as it arrives: Head is called once, then Data for each part.
type Sink interface {
	Head(status int, header http.Header)
	Data(data []byte)
}

// Result is the outcome of a call.
type Result struct {
	// Dispatched is false if the connection failed, so that the call was not sent.
	Dispatched bool
	// Answered is set once the head of an answer has arrived.
	Answered bool
	// Complete is set if the answer was received to its end.
	Complete bool
	// FirstByte and Total are the times from the call to the answer's head and to its end.
	FirstByte time.Duration
	Total     time.Duration
	// Err is why the answer is missing or incomplete.
	Err error
}

// Call sends the call and streams the answer to the sink.
func (cli *Client) Call(ctx context.Context, cal Call, sink Sink) Result {
	start := time.Now()
	ctx, wat := transport.Watch(ctx, cli.cfg.SilenceTimeout)
	defer wat.Stop()
	var upl upload
	req, err := newRequest(upl.trace(ctx), cal)
	if err != nil {
		return Result{Err: err}
	}
	rep, err := cli.clientFor(req).Do(req)
	if err != nil {
		return Result{Dispatched: !transport.NotSent(err), Err: transport.Cause(ctx, err)}
	}
	defer rep.Body.Close()
	res := Result{Dispatched: true, Answered: true, FirstByte: time.Since(start)}
	sink.Head(rep.StatusCode, EndToEnd(rep.Header))
	res.Err = copyBody(rep.Body, sink, wat.Reset)
	if endsWithConnection := rep.ContentLength < 0 && len(rep.TransferEncoding) == 0; res.Err == nil && endsWithConnection && !upl.written.Load() {
		res.Err = &UnreadCallError{}
	}
	res.Complete = res.Err == nil
	res.Total = time.Since(start)
	return res
}

// UnreadCallError reports an answer that ended with its connection before the call was written whole, so that it may be a
// part of one.
type UnreadCallError struct{}

// Error returns the text.
func (*UnreadCallError) Error() string {
	return "the answer ended with its connection, and the call wasn't written whole"
}

// upload records whether a call was written whole.
type upload struct {
	written atomic.Bool
}

// trace returns a context whose request is recorded.
func (upl *upload) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(inf httptrace.WroteRequestInfo) { upl.written.Store(inf.Err == nil) },
	})
}

// clientFor returns the client for a request. A request without a body gets a new
// connection, since net/http may send it a second time if a reused connection is stale.
func (cli *Client) clientFor(req *http.Request) *http.Client {
	if req.Body == nil || req.Body == http.NoBody {
		return cli.unpooled
	}
	return cli.pooled
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
		return nil, errors.Wrap(err, "create request")
	}
	// Without GetBody the transport can't retry the request with its body.
	req.GetBody = nil
	req.Header = EndToEnd(cal.Header)
	req.Header.Del("Idempotency-Key")
	req.Header.Del("Authorization")
	req.Header.Set(HeaderRequestID, cal.ID.String())
	return req, nil
}

func copyBody(body io.Reader, sink Sink, onData func()) error {
	buf := make([]byte, chunkBytes)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			onData()
			sink.Data(buf[:count])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "answer aborted before its end")
		}
	}
}

// hopByHop are the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without the hop-by-hop fields.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	if endToEnd == nil {
		endToEnd = make(http.Header)
	}
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			endToEnd.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		endToEnd.Del(name)
	}
	return endToEnd
}
