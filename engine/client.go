// Package engine speaks to language-model engines: it dispatches requests,
// streams and resumes answers, cancels them, and reads load and cache events.
//
// # Usage
//
//	cli := engine.NewClient(engine.ClientConfig{})
//	res := cli.Dispatch(ctx, engine.Dispatch{Address: adr, ID: id, Body: body}, sink)
//	if !res.Dispatched { /* the engine certainly never got it */ }
//
// A dispatch is sent once: nothing in this package repeats it. An answer that
// breaks off is resumed by the request's id, which reads and never runs.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/transport"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// maxErrorBytes bounds the body of an engine's refusal.
const maxErrorBytes = 64 << 10

// idleConnections is how many connections are kept to each engine.
const idleConnections = 256

// drainTime bounds the wait for a stream's end after its end mark.
const drainTime = 100 * time.Millisecond

// doneMark ends a stream that is whole.
const doneMark = "[DONE]"

// ClientConfig holds what a Client is made from. Zero stands for the defaults.
type ClientConfig struct {
	// SilenceTimeout is after how long without an event a stream counts as
	// broken; 0 stands for 30 s.
	SilenceTimeout time.Duration
}

// Client reaches engines.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client without any connection yet.
func NewClient(cfg ClientConfig) *Client {
	if cfg.SilenceTimeout == 0 {
		cfg.SilenceTimeout = 30 * time.Second
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport.New(idleConnections)}}
}

// Close drops the idle connections.
func (cli *Client) Close() {
	cli.http.CloseIdleConnections()
}

// Dispatch is a request to be sent to an engine.
type Dispatch struct {
	Address  netip.AddrPort
	ID       request.ID
	Priority int
	Body     []byte
}

// Sink takes the events of a stream as they come; data is the event's payload.
type Sink func(data []byte)

// RefusalError reports an engine's own answer other than 200.
type RefusalError struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error names the status.
func (rer *RefusalError) Error() string {
	return fmt.Sprintf("engine answered with status %d", rer.Status)
}

// Result is how a stream ended.
type Result struct {
	// Dispatched is false when the engine certainly never got the request.
	Dispatched bool
	// Answered is set once the engine has answered at all.
	Answered bool
	// Whole is set when the answer came to its end.
	Whole bool
	// NotKnown is set when the engine to resume from knows no such request.
	NotKnown bool
	// Events counts the events of the answer, resumed ones included.
	Events int
	// Usage is the engine's count of tokens, where it told one.
	Usage Usage
	// FirstToken and Total are the times from the dispatch on.
	FirstToken time.Duration
	Total      time.Duration
	// Err says why an answer isn't whole; a *RefusalError carries the engine's own.
	Err error
}

// Dispatch sends the request and streams the answer into the sink.
func (cli *Client) Dispatch(ctx context.Context, dis Dispatch, sink Sink) Result {
	start := time.Now()
	url := "http://" + dis.Address.String() + PathChat
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(dis.Body))
	if err != nil {
		return Result{Err: errors.Wrap(err, "make dispatch")}
	}
	// Without GetBody the transport never sends a body a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, dis.ID.String())
	req.Header.Set(HeaderPriority, strconv.Itoa(dis.Priority))
	return cli.stream(req, start, 0, sink)
}

// Resume reads the answer of a request that an engine got before, from the
// event with the offset on. It never runs anything.
func (cli *Client) Resume(ctx context.Context, adr netip.AddrPort, id request.ID, offset int, sink Sink) Result {
	start := time.Now()
	url := "http://" + adr.String() + streamPath(id) + "?offset=" + strconv.Itoa(offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Result{Err: errors.Wrap(err, "make resumption")}
	}
	return cli.stream(req, start, offset, sink)
}

func (cli *Client) stream(req *http.Request, start time.Time, offset int, sink Sink) Result {
	ctx, wat := transport.Watch(req.Context(), cli.cfg.SilenceTimeout)
	defer wat.Stop()
	res := Result{Dispatched: true, Events: offset}
	rep, err := cli.http.Do(req.WithContext(ctx))
	if err != nil {
		res.Dispatched = !transport.NotSent(err)
		res.Err = transport.Cause(ctx, err)
		return res
	}
	defer rep.Body.Close()
	res.Answered = true
	if rep.StatusCode != http.StatusOK {
		return refusal(res, rep)
	}
	rea := &eventReader{
		lines: bufio.NewReaderSize(rep.Body, 4096), start: start,
		heard: wat.Heard,
	}
	rea.run(&res, sink)
	res.Total = time.Since(start)
	if res.Whole {
		wat.Shorten(drainTime)
		drain(rep.Body)
	}
	if res.Err != nil {
		res.Err = transport.Cause(ctx, res.Err)
	}
	return res
}

// drain reads the end of a stream after its end mark, without which its
// connection couldn't be used again.
func drain(body io.Reader) {
	// What comes after the end mark is no part of the answer, whatever it is.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBytes))
}

func refusal(res Result, rep *http.Response) Result {
	body, _ := io.ReadAll(io.LimitReader(rep.Body, maxErrorBytes))
	res.NotKnown = rep.StatusCode == http.StatusNotFound
	res.Err = &RefusalError{Status: rep.StatusCode, Header: rep.Header, Body: body}
	return res
}

// eventReader reads server-sent events.
type eventReader struct {
	lines *bufio.Reader
	start time.Time
	heard func()
}

var dataField = []byte("data:")

func (rea *eventReader) run(res *Result, sink Sink) {
	for {
		data, err := rea.next()
		if err != nil {
			res.Err = errors.Wrap(err, "answer broke off")
			return
		}
		rea.heard()
		if string(data) == doneMark {
			res.Whole = true
			return
		}
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(rea.start)
		}
		res.Events++
		noteUsage(res, data)
		sink(data)
	}
}

// next returns the payload of the next event.
func (rea *eventReader) next() ([]byte, error) {
	for {
		line, err := rea.line()
		if err != nil {
			return nil, err
		}
		if payload, isData := bytes.CutPrefix(line, dataField); isData {
			return bytes.TrimSpace(payload), nil
		}
	}
}

func (rea *eventReader) line() ([]byte, error) {
	var whole []byte
	for {
		part, err := rea.lines.ReadSlice('\n')
		whole = append(whole, part...)
		if err == nil {
			return whole, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, io.ErrUnexpectedEOF
		}
		if len(whole) > maxEventBytes {
			return nil, errors.Newf("event is over %d bytes", maxEventBytes)
		}
	}
}

var usageMark = []byte(`"usage":{`)

func noteUsage(res *Result, data []byte) {
	if !bytes.Contains(data, usageMark) {
		return
	}
	var chu Chunk
	if json.Unmarshal(data, &chu) == nil && chu.Usage != nil {
		res.Usage = *chu.Usage
	}
}

// Cancel stops a request at its engine.
func (cli *Client) Cancel(ctx context.Context, adr netip.AddrPort, id request.ID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+adr.String()+streamPath(id), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make cancellation")
	}
	rep, err := cli.http.Do(req)
	if err != nil {
		return err
	}
	return rep.Body.Close()
}

// Load reads an engine's report of its load.
func (cli *Client) Load(ctx context.Context, adr netip.AddrPort) (Load, error) {
	var loa Load
	err := cli.getJSON(ctx, "http://"+adr.String()+PathLoad, &loa)
	return loa, err
}

// CacheEvents reads the cache events from the sequence number on.
func (cli *Client) CacheEvents(ctx context.Context, adr netip.AddrPort, after uint64) (CacheEvents, error) {
	var evs CacheEvents
	err := cli.getJSON(ctx, "http://"+adr.String()+PathEvents+"?after="+strconv.FormatUint(after, 10), &evs)
	return evs, err
}

func (cli *Client) getJSON(ctx context.Context, url string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make call")
	}
	rep, err := cli.http.Do(req)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	if rep.StatusCode != http.StatusOK {
		return &RefusalError{Status: rep.StatusCode}
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(rep.Body, maxEventBytes)).Decode(target), "decode reply")
}
