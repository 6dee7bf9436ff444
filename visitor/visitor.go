// Package visitor is a caller that behaves as callers on the users' platform do:
// it asks which addresses to use, keeps the answer, connects to one by chance,
// waits as it is told, and repeats only what may be repeated.
//
// # Usage
//
//	vis := visitor.New(visitor.Config{Directories: addresses, HostName: "menus.example", Random: random})
//	res := vis.Send(ctx, visitor.Request{Path: "/safe/x", Kind: route.KindSafe, Deadline: time.Second, Retries: 1})
//	for _, att := range res.Attempts { ... }
package visitor

import (
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

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/task"
)

const (
	// directoryTimeout bounds a question for addresses, maxDirectories how many hosts are asked.
	directoryTimeout = time.Second
	maxDirectories   = 3
	// connectTimeout bounds a new connection.
	connectTimeout = time.Second
	// maxWaitShare is the part of the time left that a caller waits when told to come
	// back later.
	maxWaitShare = 1.0 / 3
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 16 << 20
)

// Config holds what a Visitor is made from.
type Config struct {
	// Directories are the addresses to ask, the near ones first.
	Directories []netip.AddrPort
	HostName    string
	Region      string
	Domain      string
	// Prefix begins the ids of this visitor's attempts, which must be its own.
	Prefix string
	Random *rand.Rand
	// KeepsConnections says whether connections are used for many requests.
	KeepsConnections bool
	// KeepsLonger has answers with addresses be kept three times their time.
	KeepsLonger bool
}

// Visitor is one caller; it sends one request after another.
type Visitor struct {
	cfg       Config
	transport *http.Transport
	mutex     sync.Mutex
	addresses []netip.AddrPort
	expires   time.Time
	failed    map[netip.AddrPort]bool
	attempts  int
}

// Request is what a visitor wants.
type Request struct {
	// Path is the path and query.
	Path string
	Key  string
	Body string
	Kind route.Kind
	// Resumable has a stream be repeated as a safe request is.
	Resumable bool
	// Deadline is how long the visitor waits in all.
	Deadline time.Duration
	// Retries is how often it tries again.
	Retries      int
	PromptTokens int
	MaxTokens    int
}

// Attempt is one try, under an id of its own.
type Attempt struct {
	ID      string
	Address netip.AddrPort
	Sent    time.Time
	// Status is 0 where no answer's head came.
	Status int
	Header http.Header
	// Body is what came of the answer.
	Body string
	// First is the time to the first of the body.
	First time.Duration
	Took  time.Duration
	// Err is set when no answer came, or not the whole of it.
	Err error
	// Unsent says that no connection came to stand.
	Unsent bool
}

// Promised reports whether the answer promises that the request hasn't run.
func (att Attempt) Promised() bool {
	switch att.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Served reports whether the whole answer came, and was a success.
func (att Attempt) Served() bool {
	return att.Err == nil && att.Status >= 200 && att.Status < 300
}

// Result is what came of a request.
type Result struct {
	Attempts []Attempt
	Took     time.Duration
}

// Last returns the last attempt.
func (res Result) Last() Attempt {
	if len(res.Attempts) == 0 {
		return Attempt{}
	}
	return res.Attempts[len(res.Attempts)-1]
}

// New returns a visitor that knows no address yet.
func New(cfg Config) *Visitor {
	transport := &http.Transport{
		DisableCompression: true, DisableKeepAlives: !cfg.KeepsConnections, MaxIdleConnsPerHost: 1,
		TLSHandshakeTimeout: connectTimeout,
	}
	return &Visitor{cfg: cfg, transport: transport, failed: make(map[netip.AddrPort]bool)}
}

// Close drops the visitor's connections.
func (vis *Visitor) Close() {
	vis.transport.CloseIdleConnections()
}

// NoAddressError reports that no host said where to go.
type NoAddressError struct{}

// Error says so.
func (*NoAddressError) Error() string { return "no host said which addresses to use" }

// Send sends a request, again where it may, until it is served or its time is up.
func (vis *Visitor) Send(ctx context.Context, req Request) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Deadline)
	defer cancel()
	var res Result
	for {
		att := vis.attempt(ctx, req, req.Deadline-time.Since(began))
		res.Attempts = append(res.Attempts, att)
		res.Took = time.Since(began)
		if len(res.Attempts) > req.Retries || !mayRepeat(req, att) || ctx.Err() != nil {
			return res
		}
		task.Sleep(ctx, min(retryAfter(att.Header), time.Duration(maxWaitShare*float64(req.Deadline-res.Took))))
	}
}

func mayRepeat(req Request, att Attempt) bool {
	switch {
	case att.Served(), att.Status >= 400 && att.Status < 500 && !att.Promised():
		return false
	case att.Promised(), att.Unsent:
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

func (vis *Visitor) attempt(ctx context.Context, req Request, left time.Duration) Attempt {
	att := Attempt{ID: vis.nextID(), Sent: time.Now()}
	adr, err := vis.address(ctx)
	if err != nil {
		att.Err, att.Unsent = err, true
		return att
	}
	att.Address = adr
	vis.exchange(ctx, req, left, &att)
	att.Took = time.Since(att.Sent)
	if att.Err != nil {
		vis.markFailed(adr)
	}
	return att
}

func (vis *Visitor) nextID() string {
	vis.mutex.Lock()
	defer vis.mutex.Unlock()
	vis.attempts++
	return fmt.Sprintf("%s-%d", vis.cfg.Prefix, vis.attempts)
}

func (vis *Visitor) exchange(ctx context.Context, req Request, left time.Duration, att *Attempt) {
	method := http.MethodGet
	if req.Body != "" {
		method = http.MethodPost
	}
	htr, err := http.NewRequestWithContext(ctx, method, "http://"+att.Address.String()+req.Path, strings.NewReader(req.Body))
	if err != nil {
		att.Err = err
		return
	}
	// Without GetBody the transport never sends a body a second time.
	htr.GetBody = nil
	htr.Host = vis.cfg.HostName
	platform.EncodeRequest(htr.Header, platform.CallerRequest{
		ID: att.ID, Key: req.Key, Deadline: left, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens,
	})
	rep, err := vis.transport.RoundTrip(htr)
	if err != nil {
		att.Err = err
		att.Unsent = strings.Contains(err.Error(), "dial tcp")
		return
	}
	defer rep.Body.Close()
	att.Status, att.Header = rep.StatusCode, rep.Header
	vis.read(rep.Body, att)
}

// read reads an answer, and notes when its first part came.
func (vis *Visitor) read(body io.Reader, att *Attempt) {
	first := make([]byte, 1)
	num, err := io.ReadFull(body, first)
	att.First = time.Since(att.Sent)
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

// address returns one of the addresses by chance, leaving out those that failed.
func (vis *Visitor) address(ctx context.Context) (netip.AddrPort, error) {
	vis.mutex.Lock()
	fresh := time.Now().Before(vis.expires)
	vis.mutex.Unlock()
	if !fresh {
		vis.refresh(ctx)
	}
	vis.mutex.Lock()
	defer vis.mutex.Unlock()
	if len(vis.addresses) == 0 {
		return netip.AddrPort{}, &NoAddressError{}
	}
	var usable []netip.AddrPort
	for _, adr := range vis.addresses {
		if !vis.failed[adr] {
			usable = append(usable, adr)
		}
	}
	if len(usable) == 0 {
		clear(vis.failed)
		usable = vis.addresses
	}
	return usable[vis.cfg.Random.IntN(len(usable))], nil
}

func (vis *Visitor) markFailed(adr netip.AddrPort) {
	vis.mutex.Lock()
	defer vis.mutex.Unlock()
	vis.failed[adr] = true
}

// longCacheFactor is how much longer some callers keep an answer.
const longCacheFactor = 3

// refresh asks some hosts for addresses; with no answer the former ones stay.
func (vis *Visitor) refresh(ctx context.Context) {
	for _, adr := range vis.cfg.Directories[:min(maxDirectories, len(vis.cfg.Directories))] {
		addresses, keep, err := vis.queryAddresses(ctx, adr)
		if err != nil || len(addresses) == 0 {
			continue
		}
		if vis.cfg.KeepsLonger {
			keep *= longCacheFactor
		}
		vis.mutex.Lock()
		vis.addresses, vis.expires = addresses, time.Now().Add(keep)
		clear(vis.failed)
		vis.mutex.Unlock()
		return
	}
}

func (vis *Visitor) queryAddresses(ctx context.Context, adr netip.AddrPort) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	target := platform.AddressesTarget(platform.AddressesQuery{Host: vis.cfg.HostName, Region: vis.cfg.Region, Domain: vis.cfg.Domain})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr.String()+target, http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	rep, err := vis.transport.RoundTrip(req)
	if err != nil {
		return nil, 0, err
	}
	defer rep.Body.Close()
	if rep.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("status %d", rep.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(rep.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, err
	}
	return platform.DecodeAddresses(data)
}
