// Package engine is the client for language-model engines: it dispatches requests,
// streams, resumes and cancels answers, and reads load reports and cache events.
//
// # Usage
//
//	cli := engine.NewClient(engine.ClientConfig{})
//	res := cli.Dispatch(ctx, engine.Dispatch{Address: adr, ID: id, Body: body}, sink)
//	if !res.Dispatched { /* the request was not sent; it may be dispatched to another engine */ }
//
// A dispatch is sent at most once: this package never retries. Client.Resume reads the
// rest of an aborted answer by the request's id and never runs the request again.
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

// maxEventBytes bounds the size of one event of a stream, and of the response to Load and
// CacheEvents.
const maxEventBytes = 1 << 20

// maxErrorBytes bounds how much is read of the body of an error response, and of the data
// after doneMark.
const maxErrorBytes = 64 << 10

// maxIdleConnections bounds the idle connections to each engine.
const maxIdleConnections = 256

// drainTimeout bounds the wait for the end of the response body after doneMark.
const drainTimeout = 100 * time.Millisecond

// doneMark is the last event of a complete stream.
const doneMark = "[DONE]"

// ClientConfig configures a Client. Zero values mean the defaults.
type ClientConfig struct {
	// SilenceTimeout is the longest time without an event before a stream is
	// aborted; 0 means 30 s.
	SilenceTimeout time.Duration
}

// Client sends requests to engines.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client without open connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.SilenceTimeout == 0 {
		cfg.SilenceTimeout = 30 * time.Second
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport.Checked(transport.New(maxIdleConnections))}}
}

// Close closes the idle connections.
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

// Sink receives the events of a stream as they arrive; data is the event's payload.
type Sink func(data []byte)

// StatusError reports a response of the engine with a status other than 200.
type StatusError struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error returns the status.
func (ser *StatusError) Error() string {
	return fmt.Sprintf("engine responded with status %d, want 200", ser.Status)
}

// Result is the outcome of a dispatch or a resumption.
type Result struct {
	// Dispatched is false if the connection failed, so that the request was not sent.
	Dispatched bool
	// Answered is set once the head of a response has arrived.
	Answered bool
	// Whole is set if the answer was received to its end.
	Whole bool
	// NotKnown is set if the engine responded with status 404, since it has no such stream.
	NotKnown bool
	// Events counts the events of the answer, including those before a resumption's offset.
	Events int
	// Usage is the engine's token count; zero if it sent none.
	Usage Usage
	// FirstToken and Total are the times from the call to the first event and to the end.
	FirstToken time.Duration
	Total      time.Duration
	// Err is why the answer is incomplete; a *StatusError if the status wasn't 200.
	Err error
}

// Dispatch sends the request and streams the answer to the sink.
func (cli *Client) Dispatch(ctx context.Context, dis Dispatch, sink Sink) Result {
	start := time.Now()
	url := "http://" + dis.Address.String() + PathChat
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(dis.Body))
	if err != nil {
		return Result{Err: errors.Wrap(err, "create dispatch request")}
	}
	// Without GetBody the transport can't retry the request with its body.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, dis.ID.String())
	req.Header.Set(HeaderPriority, strconv.Itoa(dis.Priority))
	return cli.stream(req, start, 0, sink)
}

// Resume reads the answer to a request that the engine has already received, starting at
// the event with the offset. It never runs the request again.
func (cli *Client) Resume(ctx context.Context, adr netip.AddrPort, id request.ID, offset int, sink Sink) Result {
	start := time.Now()
	url := "http://" + adr.String() + streamPath(id) + "?offset=" + strconv.Itoa(offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Result{Err: errors.Wrap(err, "create resumption request")}
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
		return withStatusError(res, rep)
	}
	rea := &eventReader{
		lines: bufio.NewReaderSize(rep.Body, 4096), start: start,
		onEvent: wat.Reset,
	}
	rea.run(&res, sink)
	res.Total = time.Since(start)
	if res.Whole {
		wat.Shorten(drainTimeout)
		drain(rep.Body)
	}
	if res.Err != nil {
		res.Err = transport.Cause(ctx, res.Err)
	}
	return res
}

// drain reads the rest of a response body after doneMark, so that the connection can be
// reused.
func drain(body io.Reader) {
	// Data after doneMark is not part of the answer, so errors are ignored.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBytes))
}

// withStatusError adds the engine's error response to the result.
func withStatusError(res Result, rep *http.Response) Result {
	body, _ := io.ReadAll(io.LimitReader(rep.Body, maxErrorBytes))
	res.NotKnown = rep.StatusCode == http.StatusNotFound
	res.Err = &StatusError{Status: rep.StatusCode, Header: rep.Header, Body: body}
	return res
}

// eventReader reads server-sent events.
type eventReader struct {
	lines   *bufio.Reader
	start   time.Time
	onEvent func()
}

var dataField = []byte("data:")

func (rea *eventReader) run(res *Result, sink Sink) {
	for {
		data, err := rea.next()
		if err != nil {
			res.Err = errors.Wrap(err, "answer aborted before its end")
			return
		}
		rea.onEvent()
		if string(data) == doneMark {
			res.Whole = true
			return
		}
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(rea.start)
		}
		res.Events++
		recordUsage(res, data)
		sink(data)
	}
}

// next returns the payload of the next event and skips lines without data.
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
	var line []byte
	for {
		part, err := rea.lines.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, io.ErrUnexpectedEOF
		}
		if len(line) > maxEventBytes {
			return nil, errors.Newf("stream event is larger than the limit of %d bytes", maxEventBytes)
		}
	}
}

var usageMember = []byte(`"usage":{`)

func recordUsage(res *Result, data []byte) {
	if !bytes.Contains(data, usageMember) {
		return
	}
	var chu Chunk
	if json.Unmarshal(data, &chu) == nil && chu.Usage != nil {
		res.Usage = *chu.Usage
	}
}

// Cancel cancels a request at its engine. It ignores the status of the response.
func (cli *Client) Cancel(ctx context.Context, adr netip.AddrPort, id request.ID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+adr.String()+streamPath(id), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create cancellation request")
	}
	rep, err := cli.http.Do(req)
	if err != nil {
		return err
	}
	return rep.Body.Close()
}

// Load reads an engine's load report.
func (cli *Client) Load(ctx context.Context, adr netip.AddrPort) (Load, error) {
	var loa Load
	err := cli.getJSON(ctx, "http://"+adr.String()+PathLoad, &loa)
	return loa, err
}

// CacheEvents reads the cache events with sequence numbers greater than after.
func (cli *Client) CacheEvents(ctx context.Context, adr netip.AddrPort, after uint64) (CacheEvents, error) {
	var evs CacheEvents
	err := cli.getJSON(ctx, "http://"+adr.String()+PathEvents+"?after="+strconv.FormatUint(after, 10), &evs)
	return evs, err
}

func (cli *Client) getJSON(ctx context.Context, url string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	rep, err := cli.http.Do(req)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	if rep.StatusCode != http.StatusOK {
		return &StatusError{Status: rep.StatusCode}
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(rep.Body, maxEventBytes)).Decode(target), "decode engine response")
}
