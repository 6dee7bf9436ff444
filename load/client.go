// Package load sends requests to a running system, as the system's clients do, and
// reports their outcomes.
//
// # Usage
//
//	cli := load.NewClient(load.ClientConfig{Entries: addresses, Key: key})
//	ans := cli.Send(ctx, req)            // one request, with the documented retries
//	results, err := load.Run(ctx, load.Config{Clients: clients, Kinds: kinds, For: 10 * time.Second})
//
// Arrivals are open-loop: they don't wait for answers, and latencies are measured
// from the intended send time of a request.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/transport"
)

// The retry policy of a client: retryDelay is the delay between two attempts,
// addressRetryDelay the delay after a failure to get the list of addresses, and maxAttempts
// the maximum number of attempts of a request.
const (
	retryDelay        = 50 * time.Millisecond
	addressRetryDelay = 200 * time.Millisecond
	maxAttempts       = 40
)

// headerTimeout bounds the wait for response headers before the request is retried at
// another address. A frozen host accepts connections but sends nothing.
const headerTimeout = 3 * time.Second

// avoidDuration is how long an address is avoided after it failed.
const avoidDuration = 3 * time.Second

// maxAnswerBytes bounds the size of a response body.
const maxAnswerBytes = 64 << 20

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// Entries are host addresses from which the client fetches the list of addresses.
	Entries []netip.AddrPort
	// Key is the client account's bearer key.
	Key string
	// Seed makes the choice of addresses reproducible.
	Seed uint64
	// KeepForever disables refreshing the addresses when they expire.
	KeepForever bool
}

// Client is a client that behaves as documented: it caches the addresses, gives
// each request an id, and retries under the same id.
type Client struct {
	cfg       ClientConfig
	http      *http.Client
	mutex     sync.Mutex
	random    *rand.Rand
	known     caller.Addresses
	fetchedAt time.Time
	// idCount is the number of ids that nextUnique has generated.
	idCount uint64
	// salt makes the request ids of clients with equal seeds distinct.
	salt uint32
	// failedAt maps an address to the time of its last failure.
	failedAt map[netip.AddrPort]time.Time
}

// NewClient returns a client; it fetches the addresses on the first request.
func NewClient(cfg ClientConfig) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute, DisableCompression: true, ResponseHeaderTimeout: headerTimeout,
	}
	return &Client{
		cfg: cfg, http: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)), salt: rand.Uint32(),
		failedAt: make(map[netip.AddrPort]time.Time),
	}
}

// Close closes the idle connections.
func (cli *Client) Close() {
	cli.http.CloseIdleConnections()
}

// Addresses returns the cached addresses, and refreshes them first if they have expired.
func (cli *Client) Addresses(ctx context.Context) (caller.Addresses, error) {
	cli.mutex.Lock()
	known, fetched := cli.known, cli.fetchedAt
	cli.mutex.Unlock()
	fresh := cli.cfg.KeepForever || time.Since(fetched) < time.Duration(known.KeepSeconds)*time.Second
	if len(known.Addresses) > 0 && fresh {
		return known, nil
	}
	return cli.Refresh(ctx)
}

// Refresh fetches the addresses from the entries and the known addresses, in random
// order, until one returns them.
func (cli *Client) Refresh(ctx context.Context) (caller.Addresses, error) {
	var lastErr error
	for _, adr := range cli.refreshCandidates() {
		var ans caller.Addresses
		if lastErr = cli.fetch(ctx, adr, &ans); lastErr != nil {
			continue
		}
		cli.mutex.Lock()
		cli.known, cli.fetchedAt = ans, time.Now()
		cli.mutex.Unlock()
		return ans, nil
	}
	return caller.Addresses{}, errors.Wrap(lastErr, "no address returned the list of addresses")
}

func (cli *Client) refreshCandidates() []netip.AddrPort {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	all := append([]netip.AddrPort(nil), cli.cfg.Entries...)
	for _, adr := range cli.known.Addresses {
		all = append(all, adr.Address)
	}
	cli.random.Shuffle(len(all), func(one, two int) { all[one], all[two] = all[two], all[one] })
	return all
}

// fetchTimeout bounds one fetch of the addresses.
const fetchTimeout = time.Second

func (cli *Client) fetch(ctx context.Context, adr netip.AddrPort, target any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr.String()+"/v1/addresses", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	rep, err := cli.http.Do(req)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	if rep.StatusCode != http.StatusOK {
		return errors.Newf("GET /v1/addresses: got status %d, want 200", rep.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(rep.Body, maxAnswerBytes)).Decode(target)
}

// Request is one request to send.
type Request struct {
	Method string
	Path   string
	Body   []byte
	Tier   string
	// Once marks a request that must run at most once.
	Once bool
	// Deadline bounds the time from Intended to the complete answer.
	Deadline time.Duration
	// Intended is the intended send time; the zero time stands for now.
	Intended time.Time
	// Unique is the part of the request's id after the host's prefix; if it is empty, the
	// client generates one.
	Unique string
}

// Answer is the result of a request.
type Answer struct {
	// IDs are the ids under which the request was sent, in order.
	IDs    []request.ID
	Status int
	Body   []byte
	// Whole is set for a complete answer with status 200.
	Whole bool
	// Outcome is the most recent outcome reported to the client; it is empty for a complete
	// answer.
	Outcome request.Outcome
	// Code is the error code of the most recent error answer; it is empty for a complete
	// answer.
	Code string
	// Told maps each id to the most recent outcome reported for it.
	Told map[request.ID]request.Outcome
	// Repeats counts the attempts that got no answer from the host or an incomplete one, and
	// those that were retried after the outcome Unknown.
	Repeats int
	// FirstToken and Total are the times from Request.Intended to the first byte of a complete
	// answer's body and to the return of Send.
	FirstToken time.Duration
	Total      time.Duration
	// Err is why the last attempt got no complete answer; it is nil after an error answer.
	Err error
}

// Send sends the request and retries it as documented until there is a final
// answer or the deadline has passed.
func (cli *Client) Send(ctx context.Context, req Request) Answer {
	if req.Intended.IsZero() {
		req.Intended = time.Now()
	}
	ctx, cancel := context.WithDeadline(ctx, req.Intended.Add(req.Deadline))
	defer cancel()
	exc := &exchange{client: cli, request: req}
	exc.answer.Told = make(map[request.ID]request.Outcome)
	for range maxAttempts {
		if exc.attempt(ctx) || ctx.Err() != nil {
			break
		}
	}
	exc.answer.Total = time.Since(req.Intended)
	return exc.answer
}

// exchange is the state of one request until its final answer.
type exchange struct {
	client  *Client
	request Request
	answer  Answer
	id      request.ID
	hasID   bool
	// maybeSent is set once any data may have been sent under the id.
	maybeSent   bool
	lastAddress netip.AddrPort
}

// attempt sends the request once and reports whether the result is final.
func (exc *exchange) attempt(ctx context.Context) bool {
	adr, err := exc.chooseAddress(ctx)
	if err != nil {
		exc.answer.Err = err
		task.Sleep(ctx, addressRetryDelay)
		return false
	}
	rep, err := exc.send(ctx, adr)
	if err != nil {
		exc.client.avoid(adr)
		exc.dropUnusedID(err)
		return exc.backOff(ctx, err)
	}
	exc.maybeSent = true
	defer rep.Body.Close()
	return exc.handleResponse(ctx, rep)
}

// chooseAddress returns the address for the next attempt, if possible not the one of
// the last attempt. If the request has no id yet, it gets one with the prefix of
// this address.
func (exc *exchange) chooseAddress(ctx context.Context) (netip.AddrPort, error) {
	known, err := exc.client.Addresses(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	adr := exc.client.pick(known, exc.lastAddress)
	exc.lastAddress = adr.Address
	if exc.hasID {
		return adr.Address, nil
	}
	id, err := request.ParseID(adr.Prefix + "-" + exc.unique())
	if err != nil {
		return netip.AddrPort{}, err
	}
	exc.id = id
	exc.hasID = true
	exc.answer.IDs = append(exc.answer.IDs, id)
	return adr.Address, nil
}

func (exc *exchange) unique() string {
	base := exc.request.Unique
	if base == "" {
		base = exc.client.nextUnique()
	}
	if len(exc.answer.IDs) > 0 {
		return base + "." + strconv.Itoa(len(exc.answer.IDs))
	}
	return base
}

func (cli *Client) nextUnique() string {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.idCount++
	return fmt.Sprintf("%x.%d", cli.salt, cli.idCount)
}

// pick returns a random address that isn't last and hasn't failed within avoidDuration,
// or any address if there is none.
func (cli *Client) pick(known caller.Addresses, last netip.AddrPort) caller.Address {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	count := len(known.Addresses)
	start := cli.random.IntN(count)
	for step := range count {
		adr := known.Addresses[(start+step)%count]
		if adr.Address != last && time.Since(cli.failedAt[adr.Address]) > avoidDuration {
			return adr
		}
	}
	return known.Addresses[start]
}

// avoid records a failure of an address, which pick then avoids for avoidDuration.
func (cli *Client) avoid(adr netip.AddrPort) {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.failedAt[adr] = time.Now()
}

func (exc *exchange) send(ctx context.Context, adr netip.AddrPort) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, exc.request.Method, "http://"+adr.String()+exc.request.Path, bytes.NewReader(exc.request.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+exc.client.cfg.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.HeaderID, exc.id.String())
	req.Header.Set(caller.HeaderTier, exc.request.Tier)
	if exc.request.Once {
		req.Header.Set(caller.HeaderOnce, "true")
	}
	left := time.Until(exc.request.Intended.Add(exc.request.Deadline))
	req.Header.Set(caller.HeaderDeadline, max(left, time.Millisecond).Round(time.Microsecond).String())
	return exc.client.http.Do(req)
}

// dropUnusedID discards the request's id if nothing was sent under it. The id's prefix
// belongs to a host that couldn't be reached, so the next attempt uses a new id.
func (exc *exchange) dropUnusedID(err error) {
	if !transport.NotSent(err) {
		exc.maybeSent = true
	}
	if !exc.maybeSent {
		exc.hasID = false
	}
}

// backOff records an attempt without a complete answer, waits for retryDelay and returns
// false. The retry uses the same id unless dropUnusedID has discarded it.
func (exc *exchange) backOff(ctx context.Context, err error) bool {
	exc.answer.Err = err
	exc.answer.Repeats++
	task.Sleep(ctx, retryDelay)
	return false
}

// handleResponse processes a response and reports whether it is final.
func (exc *exchange) handleResponse(ctx context.Context, rep *http.Response) bool {
	ans := &exc.answer
	first := &firstByteReader{reader: rep.Body}
	body, err := io.ReadAll(io.LimitReader(first, maxAnswerBytes))
	if err != nil {
		return exc.backOff(ctx, err)
	}
	ans.Err = nil
	ans.Status, ans.Body = rep.StatusCode, body
	if rep.StatusCode == http.StatusOK && isComplete(rep, body) {
		ans.Whole = true
		ans.Outcome, ans.Code = "", ""
		ans.FirstToken = first.at.Sub(exc.request.Intended)
		return true
	}
	if rep.StatusCode == http.StatusOK {
		return exc.backOff(ctx, io.ErrUnexpectedEOF)
	}
	return exc.handleRejection(ctx, rep, body)
}

// isComplete reports whether a stream ends with its end marker. Any other response is
// complete, because reading a truncated body returns an error.
func isComplete(rep *http.Response, body []byte) bool {
	if rep.Header.Get("Content-Type") != "text/event-stream" {
		return true
	}
	return bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]"))
}

// handleRejection processes a response that isn't a complete answer and reports whether
// it is final.
func (exc *exchange) handleRejection(ctx context.Context, rep *http.Response, body []byte) bool {
	ans := &exc.answer
	var eb caller.ErrorBody
	_ = json.Unmarshal(body, &eb)
	ans.Code = eb.Error.Code
	ans.Outcome = request.Outcome(rep.Header.Get(caller.HeaderOutcome))
	ans.Told[exc.id] = ans.Outcome
	after, retry := retryAfter(rep)
	switch {
	case !retry:
		return true
	case ans.Outcome == request.NotRun && after == 0:
		// The host or the prefix is being retired: retry under a new id at another address.
		exc.hasID, exc.maybeSent = false, false
		_, _ = exc.client.Refresh(ctx)
		task.Sleep(ctx, retryDelay)
		return false
	case ans.Outcome == request.Unknown:
		ans.Repeats++
		task.Sleep(ctx, max(after, retryDelay))
		return false
	default:
		return true
	}
}

// retryAfter returns the delay in the Retry-After header, and whether the header has one.
func retryAfter(rep *http.Response) (time.Duration, bool) {
	seconds, err := strconv.Atoi(rep.Header.Get("Retry-After"))
	if err != nil {
		return 0, false
	}
	return time.Duration(seconds) * time.Second, true
}

// firstByteReader records the arrival time of the first byte.
type firstByteReader struct {
	reader io.Reader
	at     time.Time
}

// Read implements io.Reader.
func (fbr *firstByteReader) Read(buf []byte) (int, error) {
	count, err := fbr.reader.Read(buf)
	if count > 0 && fbr.at.IsZero() {
		fbr.at = time.Now()
	}
	return count, err
}
