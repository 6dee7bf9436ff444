// Package visitor implements a client that behaves like the clients on the users'
// platform: it requests the list of addresses, caches it, connects to a random one of
// them, honors Retry-After, and retries only requests that may be retried.
//
// # Usage
//
//	cli := visitor.New(visitor.Config{Directories: addresses, HostName: "menus.example", Random: random})
//	res := cli.Send(ctx, visitor.Request{Path: "/safe/x", Kind: route.KindSafe, Deadline: time.Second, MaxRetries: 1})
//	for _, att := range res.Attempts { ... }
package visitor

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/eventstream"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/upstream"
)

const (
	// directoryTimeout bounds one request for the list of addresses; maxDirectories is how
	// many hosts are tried.
	directoryTimeout = time.Second
	maxDirectories   = 3
	// connectTimeout bounds the TLS handshake of a new connection. It has no effect on
	// connections without TLS, which are the only ones that the client opens.
	connectTimeout = time.Second
	// maxWaitShare is the maximum wait before a retry, as a fraction of the remaining time.
	maxWaitShare = 1.0 / 3
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 16 << 20
)

// Config configures a Client.
type Config struct {
	// Directories are the addresses that serve the list of addresses, the nearest first.
	Directories []netip.AddrPort
	// Addresses are those of the hosts, for a client that doesn't request the list; nil for one that does.
	Addresses []netip.AddrPort
	// HostName is the host name of the requested routes, sent in the Host header and in the query
	// for the list of addresses.
	HostName string
	// Region and Domain are the client's region and failure domain, sent in the same query.
	Region string
	Domain string
	// Prefix begins the id of each of this client's attempts. No two clients may have the
	// same prefix.
	Prefix string
	Random *rand.Rand
	// KeepAlive enables HTTP keep-alive.
	KeepAlive bool
	// ExceedsTTL makes the client cache the list of addresses for three times as long as
	// its TTL permits.
	ExceedsTTL bool
	// RefusedWait is the least wait after an attempt that reached no host or was refused.
	RefusedWait time.Duration
}

// Client is one client. It sends one request at a time.
type Client struct {
	cfg       Config
	transport *http.Transport
	mutex     sync.Mutex
	addresses []netip.AddrPort
	expires   time.Time
	failed    map[netip.AddrPort]bool
	attempts  int
}

// Request is a request to send, with its limits on time and retries.
type Request struct {
	// Path is the path and query.
	Path string
	// Key is the client's API key; empty for none.
	Key string
	// Body is the body of a POST request; a request without one is a GET.
	Body string
	// BodyPause is the pause between the two halves of the body.
	BodyPause time.Duration
	Kind      route.Kind
	// Resumable allows a streaming request to be retried like a safe one. A retry resumes the stream after the
	// last event received.
	Resumable bool
	// LoseAfter is the number of a stream's events after which the first attempt's connection is lost; 0 for never.
	LoseAfter int
	// Deadline bounds the time of all attempts together.
	Deadline time.Duration
	// MaxRetries is the maximum number of retries.
	MaxRetries   int
	PromptTokens int
	MaxTokens    int
	// Parts are the parts of the prompt; nil for none.
	Parts []call.Part
}

// Attempt is one attempt to send a request. Each attempt has its own id.
type Attempt struct {
	ID      string
	Address netip.AddrPort
	Sent    time.Time
	// LastEvent is the event after which the attempt resumes a stream, Resumes the attempt that brought the
	// first event; empty for none.
	LastEvent eventstream.ID
	Resumes   string
	// Status is 0 if no answer's head arrived.
	Status int
	Header http.Header
	// Body is the received part of the answer's body.
	Body string
	// TimeToFirstByte is the time from sending to the first byte of the body.
	TimeToFirstByte time.Duration
	Took            time.Duration
	// Err is set if no answer or an incomplete one arrived.
	Err error
	// Unsent reports that no connection was established, so the request was not sent.
	Unsent bool
}

// GuaranteesNotRun reports whether the answer's status guarantees that the request has not
// run.
func (att Attempt) GuaranteesNotRun() bool {
	switch att.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Served reports whether a complete answer with a 2xx status arrived.
func (att Attempt) Served() bool {
	return att.Err == nil && att.Status >= 200 && att.Status < 300
}

// Result is the result of a request: its attempts and the time of all of them.
type Result struct {
	Attempts []Attempt
	Took     time.Duration
}

// Last returns the last attempt, or a zero Attempt if there was none.
func (res Result) Last() Attempt {
	if len(res.Attempts) == 0 {
		return Attempt{}
	}
	return res.Attempts[len(res.Attempts)-1]
}

// New returns a client with an empty cache of addresses.
func New(cfg Config) *Client {
	transport := &http.Transport{
		DisableCompression: true, DisableKeepAlives: !cfg.KeepAlive, MaxIdleConnsPerHost: 1,
		TLSHandshakeTimeout: connectTimeout,
	}
	return &Client{cfg: cfg, transport: transport, addresses: cfg.Addresses, failed: make(map[netip.AddrPort]bool)}
}

// Close closes idle connections.
func (cli *Client) Close() {
	cli.transport.CloseIdleConnections()
}

// NoAddressError reports that no host returned a list of addresses.
type NoAddressError struct{}

// Error implements error.
func (*NoAddressError) Error() string { return "no host returned a list of addresses" }

// Send sends a request and retries it until it is served, may not be retried, its retries are
// used up, or its deadline has passed.
func (cli *Client) Send(ctx context.Context, req Request) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Deadline)
	defer cancel()
	var res Result
	var resumed Attempt
	for {
		att := cli.attempt(ctx, req, resumed, req.Deadline-time.Since(start))
		res.Attempts = append(res.Attempts, att)
		if req.Resumable {
			resumed = att.nextResumption()
		}
		res.Took = time.Since(start)
		if len(res.Attempts) > req.MaxRetries || !mayRetry(req, att) || ctx.Err() != nil {
			return res
		}
		wait := retryAfter(att.Header)
		if att.Unsent || att.GuaranteesNotRun() {
			wait = max(wait, cli.cfg.RefusedWait)
		}
		task.Sleep(ctx, min(wait, time.Duration(maxWaitShare*float64(req.Deadline-res.Took))))
	}
}

func mayRetry(req Request, att Attempt) bool {
	switch {
	case att.Served(), att.Status >= 400 && att.Status < 500 && !att.GuaranteesNotRun():
		return false
	case att.GuaranteesNotRun(), att.Unsent:
		return true
	default:
		return req.Kind == route.KindSafe || (req.Kind == route.KindStreaming && req.Resumable)
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// nextResumption returns an attempt with the event and the attempt after which the next attempt resumes the
// stream, as a client of the HTML standard does: the event is the last one that has an id.
func (att Attempt) nextResumption() Attempt {
	next := Attempt{LastEvent: att.LastEvent, Resumes: att.Resumes}
	if att.Status != http.StatusOK {
		return next
	}
	reader := upstream.NewEventReader(strings.NewReader(att.Body))
	for {
		evt, err := reader.Next()
		if err != nil {
			// The body has no further complete event.
			return next
		}
		if evt.ID != "" {
			next = Attempt{LastEvent: evt.ID, Resumes: cmp.Or(att.Resumes, att.ID)}
		}
	}
}

func (cli *Client) attempt(ctx context.Context, req Request, resumed Attempt, left time.Duration) Attempt {
	att := Attempt{ID: cli.nextID(), Sent: time.Now(), LastEvent: resumed.LastEvent, Resumes: resumed.Resumes}
	adr, err := cli.address(ctx)
	if err != nil {
		att.Err, att.Unsent = err, true
		return att
	}
	att.Address = adr
	cli.exchange(ctx, req, left, &att)
	att.Took = time.Since(att.Sent)
	if att.Err != nil {
		cli.markFailed(adr)
	}
	return att
}

func (cli *Client) nextID() string {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.attempts++
	return fmt.Sprintf("%s-%d", cli.cfg.Prefix, cli.attempts)
}

func (cli *Client) exchange(ctx context.Context, req Request, left time.Duration, att *Attempt) {
	method := http.MethodGet
	if req.Body != "" {
		method = http.MethodPost
	}
	htr, err := http.NewRequestWithContext(ctx, method, "http://"+att.Address.String()+req.Path, newUpload(ctx, req))
	if err != nil {
		att.Err = err
		return
	}
	// Without GetBody the transport never resends a body by itself.
	htr.GetBody = nil
	htr.Host = cli.cfg.HostName
	platform.EncodeRequest(htr.Header, platform.ClientRequest{
		ID: att.ID, Key: req.Key, Deadline: left, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens,
		Parts: req.Parts, LastEvent: att.LastEvent, Resumes: att.Resumes,
	})
	rep, err := cli.transport.RoundTrip(htr)
	if err != nil {
		att.Err = err
		att.Unsent = strings.Contains(err.Error(), "dial tcp")
		return
	}
	defer rep.Body.Close()
	att.Status, att.Header = rep.StatusCode, rep.Header
	var body io.Reader = rep.Body
	if req.LoseAfter > 0 && att.Resumes == "" {
		body = &lostAfter{body: body, left: req.LoseAfter}
	}
	cli.read(body, att)
}

// LostError reports that the connection was lost on purpose.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string { return "connection lost on purpose" }

// lostAfter reads a body and fails after a number of events.
type lostAfter struct {
	body io.Reader
	// left is the number of events until then; an empty line ends each. last is the byte read last.
	left int
	last byte
}

// Read implements io.Reader.
func (lat *lostAfter) Read(data []byte) (int, error) {
	num, err := lat.body.Read(data)
	for _, char := range data[:num] {
		if char == '\n' && lat.last == '\n' {
			lat.left--
		}
		lat.last = char
	}
	if err == nil && lat.left <= 0 {
		err = &LostError{}
	}
	return num, err
}

// read reads an answer's body and records when its first byte arrived.
func (cli *Client) read(body io.Reader, att *Attempt) {
	first := make([]byte, 1)
	num, err := io.ReadFull(body, first)
	att.TimeToFirstByte = time.Since(att.Sent)
	if errors.Is(err, io.EOF) {
		return
	}
	if err != nil {
		att.Err = err
		return
	}
	rest, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	att.Body, att.Err = string(first[:num])+string(rest), err
}

// address returns a random address of the list, excluding those that failed since the list was
// last fetched. If all of them have failed, it clears these failures.
func (cli *Client) address(ctx context.Context) (netip.AddrPort, error) {
	cli.mutex.Lock()
	fresh := cli.cfg.Addresses != nil || time.Now().Before(cli.expires)
	cli.mutex.Unlock()
	if !fresh {
		cli.refresh(ctx)
	}
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	if len(cli.addresses) == 0 {
		return netip.AddrPort{}, &NoAddressError{}
	}
	var usable []netip.AddrPort
	for _, adr := range cli.addresses {
		if !cli.failed[adr] {
			usable = append(usable, adr)
		}
	}
	if len(usable) == 0 {
		clear(cli.failed)
		usable = cli.addresses
	}
	return usable[cli.cfg.Random.IntN(len(usable))], nil
}

func (cli *Client) markFailed(adr netip.AddrPort) {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.failed[adr] = true
}

// longCacheFactor multiplies the TTL of the list of addresses for clients with ExceedsTTL.
const longCacheFactor = 3

// refresh requests the list of addresses from up to maxDirectories hosts. If none of them
// returns an address, the cached list stays in use.
func (cli *Client) refresh(ctx context.Context) {
	for _, adr := range cli.cfg.Directories[:min(maxDirectories, len(cli.cfg.Directories))] {
		addresses, ttl, err := cli.queryAddresses(ctx, adr)
		if err != nil || len(addresses) == 0 {
			continue
		}
		if cli.cfg.ExceedsTTL {
			ttl *= longCacheFactor
		}
		cli.mutex.Lock()
		cli.addresses, cli.expires = addresses, time.Now().Add(ttl)
		clear(cli.failed)
		cli.mutex.Unlock()
		return
	}
}

func (cli *Client) queryAddresses(ctx context.Context, adr netip.AddrPort) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	target := platform.AddressesTarget(platform.AddressesQuery{Host: cli.cfg.HostName, Region: cli.cfg.Region, Domain: cli.cfg.Domain})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr.String()+target, http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	rep, err := cli.transport.RoundTrip(req)
	if err != nil {
		return nil, 0, err
	}
	defer rep.Body.Close()
	if rep.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("list of addresses: got status %d, want 200", rep.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(rep.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, err
	}
	return platform.DecodeAddresses(data)
}
