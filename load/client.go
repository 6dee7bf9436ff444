// Package load sends requests to a running system as its callers do, and
// reports what became of them.
//
// # Usage
//
//	cli := load.NewClient(load.ClientConfig{Entries: addresses, Key: key})
//	ans := cli.Send(ctx, req)            // one request, repeated as documented
//	rep := load.Run(ctx, load.Config{Client: cli, Kinds: kinds, For: 10 * time.Second})
//
// Arrivals are open-loop: they don't wait for answers, and times count from
// the moment a request was meant to be sent.
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

// The pauses of a caller that repeats.
const (
	repeatPause    = 50 * time.Millisecond
	addressesRetry = 200 * time.Millisecond
	attemptLimit   = 40
)

// attemptTime is how long an address may say nothing before the request is
// repeated at another one: a host that is frozen takes connections and is silent.
const attemptTime = 3 * time.Second

// avoidTime is for how long an address that failed is passed over.
const avoidTime = 3 * time.Second

// maxAnswerBytes bounds one answer.
const maxAnswerBytes = 64 << 20

// ClientConfig holds what a Client is made from.
type ClientConfig struct {
	// Entries are addresses to ask for the addresses.
	Entries []netip.AddrPort
	// Key is the client account's bearer key.
	Key string
	// Seed makes the choice of addresses repeatable.
	Seed uint64
	// KeepForever has the client never ask for the addresses again of itself.
	KeepForever bool
}

// Client is a caller that behaves as documented: it keeps the addresses for a
// while, gives each request an id, and repeats under the same id.
type Client struct {
	cfg     ClientConfig
	http    *http.Client
	mutex   sync.Mutex
	random  *rand.Rand
	known   caller.Addresses
	fetched time.Time
	count   uint64
	// salt keeps the ids of different clients apart, whatever their seeds.
	salt uint32
	// silent are the addresses that failed lately, since when.
	silent map[netip.AddrPort]time.Time
}

// NewClient returns a client that knows no addresses yet.
func NewClient(cfg ClientConfig) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute, DisableCompression: true, ResponseHeaderTimeout: attemptTime,
	}
	return &Client{
		cfg: cfg, http: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)), salt: rand.Uint32(),
		silent: make(map[netip.AddrPort]time.Time),
	}
}

// Close drops the idle connections.
func (cli *Client) Close() {
	cli.http.CloseIdleConnections()
}

// Addresses returns the kept addresses, or fresh ones when they are too old.
func (cli *Client) Addresses(ctx context.Context) (caller.Addresses, error) {
	cli.mutex.Lock()
	known, fetched := cli.known, cli.fetched
	cli.mutex.Unlock()
	fresh := cli.cfg.KeepForever || time.Since(fetched) < time.Duration(known.KeepSeconds)*time.Second
	if len(known.Addresses) > 0 && fresh {
		return known, nil
	}
	return cli.Refresh(ctx)
}

// Refresh asks the entries, and then the known addresses, in some order.
func (cli *Client) Refresh(ctx context.Context) (caller.Addresses, error) {
	var last error
	for _, adr := range cli.toAsk() {
		var ans caller.Addresses
		if last = cli.fetch(ctx, adr, &ans); last != nil {
			continue
		}
		cli.mutex.Lock()
		cli.known, cli.fetched = ans, time.Now()
		cli.mutex.Unlock()
		return ans, nil
	}
	return caller.Addresses{}, errors.Wrap(last, "no address answers")
}

func (cli *Client) toAsk() []netip.AddrPort {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	all := append([]netip.AddrPort(nil), cli.cfg.Entries...)
	for _, adr := range cli.known.Addresses {
		all = append(all, adr.Address)
	}
	cli.random.Shuffle(len(all), func(one, two int) { all[one], all[two] = all[two], all[one] })
	return all
}

// fetchTimeout bounds one question for the addresses.
const fetchTimeout = time.Second

func (cli *Client) fetch(ctx context.Context, adr netip.AddrPort, target any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr.String()+"/v1/addresses", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make call")
	}
	rep, err := cli.http.Do(req)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	if rep.StatusCode != http.StatusOK {
		return errors.Newf("addresses: status %d", rep.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(rep.Body, maxAnswerBytes)).Decode(target)
}

// Request is one request to send.
type Request struct {
	Method string
	Path   string
	Body   []byte
	Tier   string
	Once   bool
	// Deadline is the time for the whole answer, from Intended on.
	Deadline time.Duration
	// Intended is when the request was meant to be sent; zero stands for now.
	Intended time.Time
	// Unique is the request's own part of its id; empty has one made.
	Unique string
}

// Answer is what became of a request.
type Answer struct {
	// IDs are the ids that it was sent under, the last one last.
	IDs    []request.ID
	Status int
	Body   []byte
	// Whole is set for a whole answer of status 200.
	Whole bool
	// Outcome is what the caller was last told; empty for a whole answer.
	Outcome request.Outcome
	Code    string
	// Told are the ids with the outcome that the caller was told finally.
	Told       map[request.ID]request.Outcome
	Repeats    int
	FirstToken time.Duration
	Total      time.Duration
	Err        error
}

// Send sends the request and repeats it as documented until there is a final
// answer or the deadline is over.
func (cli *Client) Send(ctx context.Context, req Request) Answer {
	if req.Intended.IsZero() {
		req.Intended = time.Now()
	}
	ctx, cancel := context.WithDeadline(ctx, req.Intended.Add(req.Deadline))
	defer cancel()
	sen := &sending{client: cli, request: req}
	sen.answer.Told = make(map[request.ID]request.Outcome)
	for range attemptLimit {
		if sen.attempt(ctx) || ctx.Err() != nil {
			break
		}
	}
	sen.answer.Total = time.Since(req.Intended)
	return sen.answer
}

// sending is one request on its way to an answer.
type sending struct {
	client  *Client
	request Request
	answer  Answer
	id      request.ID
	named   bool
	// sent is set once anything may have been sent under the id.
	sent bool
	last netip.AddrPort
}

// attempt sends the request once; it reports whether that settled it.
func (sen *sending) attempt(ctx context.Context) bool {
	adr, err := sen.choose(ctx)
	if err != nil {
		sen.answer.Err = err
		task.Sleep(ctx, addressesRetry)
		return false
	}
	rep, err := sen.post(ctx, adr)
	if err != nil {
		sen.client.avoid(adr)
		sen.unname(err)
		return sen.broken(ctx, err)
	}
	sen.sent = true
	defer rep.Body.Close()
	return sen.read(ctx, rep)
}

// choose takes an address, another one than the last if it can, and names the
// request after the first.
func (sen *sending) choose(ctx context.Context) (netip.AddrPort, error) {
	known, err := sen.client.Addresses(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	adr := sen.client.pick(known, sen.last)
	sen.last = adr.Address
	if sen.named {
		return adr.Address, nil
	}
	id, err := request.ParseID(adr.Prefix + "-" + sen.unique())
	if err != nil {
		return netip.AddrPort{}, err
	}
	sen.id = id
	sen.named = true
	sen.answer.IDs = append(sen.answer.IDs, id)
	return adr.Address, nil
}

func (sen *sending) unique() string {
	base := sen.request.Unique
	if base == "" {
		base = sen.client.nextUnique()
	}
	if len(sen.answer.IDs) > 0 {
		return base + "." + strconv.Itoa(len(sen.answer.IDs))
	}
	return base
}

func (cli *Client) nextUnique() string {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.count++
	return fmt.Sprintf("%x.%d", cli.salt, cli.count)
}

func (cli *Client) pick(known caller.Addresses, last netip.AddrPort) caller.Address {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	count := len(known.Addresses)
	start := cli.random.IntN(count)
	for step := range count {
		adr := known.Addresses[(start+step)%count]
		if adr.Address != last && time.Since(cli.silent[adr.Address]) > avoidTime {
			return adr
		}
	}
	return known.Addresses[start]
}

// avoid passes an address over for a while.
func (cli *Client) avoid(adr netip.AddrPort) {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.silent[adr] = time.Now()
}

func (sen *sending) post(ctx context.Context, adr netip.AddrPort) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, sen.request.Method, "http://"+adr.String()+sen.request.Path, bytes.NewReader(sen.request.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+sen.client.cfg.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.HeaderID, sen.id.String())
	req.Header.Set(caller.HeaderTier, sen.request.Tier)
	if sen.request.Once {
		req.Header.Set(caller.HeaderOnce, "true")
	}
	left := time.Until(sen.request.Intended.Add(sen.request.Deadline))
	req.Header.Set(caller.HeaderDeadline, max(left, time.Millisecond).Round(time.Microsecond).String())
	return sen.client.http.Do(req)
}

// unname has the request take a new id where nothing was sent under this one:
// its prefix names the host that couldn't be reached.
func (sen *sending) unname(err error) {
	if !transport.NotSent(err) {
		sen.sent = true
	}
	if !sen.sent {
		sen.named = false
	}
}

// broken repeats after a connection that failed, under the same id.
func (sen *sending) broken(ctx context.Context, err error) bool {
	sen.answer.Err = err
	sen.answer.Repeats++
	task.Sleep(ctx, repeatPause)
	return false
}

// read takes an answer; it reports whether that settles the request.
func (sen *sending) read(ctx context.Context, rep *http.Response) bool {
	ans := &sen.answer
	first := &firstReader{reader: rep.Body}
	body, err := io.ReadAll(io.LimitReader(first, maxAnswerBytes))
	if err != nil {
		return sen.broken(ctx, err)
	}
	ans.Err = nil
	ans.Status, ans.Body = rep.StatusCode, body
	if rep.StatusCode == http.StatusOK && isWhole(rep, body) {
		ans.Whole = true
		ans.Outcome, ans.Code = "", ""
		ans.FirstToken = first.at.Sub(sen.request.Intended)
		return true
	}
	if rep.StatusCode == http.StatusOK {
		return sen.broken(ctx, io.ErrUnexpectedEOF)
	}
	return sen.refused(ctx, rep, body)
}

// isWhole reports whether a stream has its end mark; what isn't a stream is
// whole by its length.
func isWhole(rep *http.Response, body []byte) bool {
	if rep.Header.Get("Content-Type") != "text/event-stream" {
		return true
	}
	return bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]"))
}

// refused takes an answer other than a whole one.
func (sen *sending) refused(ctx context.Context, rep *http.Response, body []byte) bool {
	ans := &sen.answer
	var eb caller.ErrorBody
	_ = json.Unmarshal(body, &eb)
	ans.Code = eb.Error.Code
	ans.Outcome = request.Outcome(rep.Header.Get(caller.HeaderOutcome))
	ans.Told[sen.id] = ans.Outcome
	after, retry := retryAfter(rep)
	switch {
	case !retry:
		return true
	case ans.Outcome == request.NotRun && after == 0:
		// The host or the prefix is going away: a new id at another address.
		sen.named, sen.sent = false, false
		_, _ = sen.client.Refresh(ctx)
		task.Sleep(ctx, repeatPause)
		return false
	case ans.Outcome == request.Unknown:
		ans.Repeats++
		task.Sleep(ctx, max(after, repeatPause))
		return false
	default:
		return true
	}
}

func retryAfter(rep *http.Response) (time.Duration, bool) {
	seconds, err := strconv.Atoi(rep.Header.Get("Retry-After"))
	if err != nil {
		return 0, false
	}
	return time.Duration(seconds) * time.Second, true
}

// firstReader notes when the first byte came.
type firstReader struct {
	reader io.Reader
	at     time.Time
}

// Read implements io.Reader.
func (fir *firstReader) Read(buf []byte) (int, error) {
	count, err := fir.reader.Read(buf)
	if count > 0 && fir.at.IsZero() {
		fir.at = time.Now()
	}
	return count, err
}
