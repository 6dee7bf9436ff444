// Package upstreamtest provides a fake engine or backend server of the platform, with
// injectable faults that real ones have.
//
// # Usage
//
//	eng := upstreamtest.NewEngine(upstreamtest.Config{ID: "e1", Service: "menus", Slots: 4, Events: 3})
//	http.Serve(lis, eng.Handler())
//	eng.InjectFault(upstreamtest.TruncateInEvent, 1) // affects the next request
//	runs := eng.Runs()                      // the requests that it ran
//
// The package defines the protocol's headers itself rather than using the client's
// constants, so that tests detect wrong constants.
package upstreamtest

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault of an answer.
type Fault uint8

// The faults of an answer.
const (
	// None answers correctly.
	None Fault = iota
	// Error runs the request and answers with status 500 and a valid signature.
	Error
	// Reject rejects the request with status 503 and Not-Executed, without running it.
	Reject
	// Hang runs the request and sends nothing until the client closes the connection.
	Hang
	// DropAnswer runs the request and closes the connection without an answer.
	DropAnswer
	// Truncate truncates a plain answer, or a stream between two events.
	Truncate
	// TruncateInEvent truncates a stream within an event.
	TruncateInEvent
	// Extra sends an unsolicited second answer after the first.
	Extra
	// StrayFirst sends an answer to another request first.
	StrayFirst
	// Unframed sends an answer without a length, which ends when the connection is closed.
	Unframed
	// UnframedReset sends an answer without a length and resets the connection instead of
	// closing it.
	UnframedReset
	// Unsigned answers with status 200 but without a signature, so that the answer doesn't
	// prove that the request ran.
	Unsigned
	// Slow delays the answer by slowAnswerDelay.
	Slow
	// Early answers with status 413 before it has read the request's body, and reads the body
	// afterwards.
	Early
	// Endless sends bytes without an end, of another kind for each request, until the client closes the connection.
	Endless
	// EarlyPart answers before it has read a long body of a request: it sends a part of an answer without a length,
	// ends its side, and resets the connection a moment later. After a short body it resets at once.
	EarlyPart
	// StatusZero sends a head with the status 000 whose body reads as an answer.
	StatusZero
	// BlankInName sends an answer with a blank in the name of a field, behind which its length is hidden.
	BlankInName
)

// Config configures an Engine.
type Config struct {
	// ID is the id of the engine's run. A request with another id in Expect-Instance is
	// rejected with status 421.
	ID      string
	Service string
	// Slots is the number of slots. While twice as many requests are active, further ones are
	// rejected; all others run at once, without a queue. 0 means no limit.
	Slots int
	// Events is the number of events of a stream; 0 makes all answers plain ones.
	Events int
	// Reading is the prefill time per prompt token, Step the time between two events.
	Reading time.Duration
	Step    time.Duration
	// EventIDs is how the events of a stream are numbered; empty means from 1 on.
	EventIDs EventIDs
	// IgnoresLastEvent makes the engine begin each stream anew, whatever event it is to go on behind.
	IgnoresLastEvent bool
	// Version is the version of the engine's software; empty means "v1".
	Version string
	// Domain is the engine's failure domain; empty means "d0".
	Domain string
	// FailEvery makes every n-th answer an error and SlowEvery every n-th answer slow; 0 means
	// none.
	FailEvery int
	SlowEvery int
	// Sound is the number of requests that run before FailEvery and SlowEvery apply.
	Sound int
	// CrashBody is a text in a request's body that makes the engine crash when it runs the
	// request; empty means none.
	CrashBody string
	// CrashPart is the id of a part of prompts, in hexadecimal digits, that makes the engine crash when it runs a
	// request with it, unless it is the last part; empty means none.
	CrashPart string
	// Crash is called for such requests and must make the engine crash.
	Crash func()
}

// Run is a request that the engine ran.
type Run struct {
	ID string
	// At is the start time.
	At        time.Time
	Account   string
	Deadline  string
	LastEvent string
	Key       string
	Target    string
	Body      string
}

// Engine is a fake engine or backend server.
type Engine struct {
	cfg    Config
	mutex  sync.Mutex
	faults []Fault
	// endless counts the endless answers.
	endless int
	runs    []Run
	active  int
	// abandoned counts the requests whose client disconnected before the end of the answer.
	abandoned int
	// onNextRequest is called once, at the next request.
	onNextRequest func()
	// draining makes all answers carry Server-Leaving.
	draining bool
	// backoff, if over 0, makes the engine reject all requests with it as Retry-After.
	backoff time.Duration
	// rateLimit is sent with all answers, in requests per second; nil means none.
	rateLimit *float64
	arrivals  []Arrival
	// coldRate is the request rate per second that the engine survives until coldUntil.
	// crashed is set once the engine has received more requests than it survives.
	coldRate  float64
	coldUntil time.Time
	crashed   bool
	// brittle is the state of a brittle engine; nil if it isn't brittle.
	brittle *brittleness
	// breakOff is where the next stream breaks off; nil if it doesn't.
	breakOff *BreakOff
}

// NewEngine returns an engine without faults other than those of the configuration.
func NewEngine(cfg Config) *Engine {
	return &Engine{cfg: cfg}
}

// ID returns the id of the engine's run.
func (eng *Engine) ID() string { return eng.cfg.ID }

// Service returns the service that the engine belongs to.
func (eng *Engine) Service() string { return eng.cfg.Service }

// Version returns the version of the engine's software.
func (eng *Engine) Version() string {
	if eng.cfg.Version == "" {
		return "v1"
	}
	return eng.cfg.Version
}

// Domain returns the engine's failure domain.
func (eng *Engine) Domain() string {
	if eng.cfg.Domain == "" {
		return "d0"
	}
	return eng.cfg.Domain
}

// Slots returns the number of concurrent requests; at least 1.
func (eng *Engine) Slots() int { return max(1, eng.cfg.Slots) }

// InjectFault queues the fault for the given number of further requests.
func (eng *Engine) InjectFault(flt Fault, times int) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	for range times {
		eng.faults = append(eng.faults, flt)
	}
}

// ClearFaults removes all queued faults.
func (eng *Engine) ClearFaults() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.faults = nil
}

// OnNextRequest sets a function that is called once, when the next request has been
// assigned its fault.
func (eng *Engine) OnNextRequest(callback func()) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.onNextRequest = callback
}

// Runs returns the requests that the engine ran, in order of their start.
func (eng *Engine) Runs() []Run {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return append([]Run(nil), eng.runs...)
}

// AbandonedRequests returns the number of requests whose client disconnected before the end
// of the answer.
func (eng *Engine) AbandonedRequests() int {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return eng.abandoned
}

// Handler returns the HTTP handler of the protocol and the control paths.
func (eng *Engine) Handler() http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if eng.serveControl(wri, req) {
			return
		}
		if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != eng.cfg.ID {
			wri.Header().Set("Instance-Id", eng.cfg.ID)
			wri.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		eng.announceBrittle(wri)
		if eng.sendSignals(wri, req) {
			return
		}
		flt, admitted, callback := eng.acquire()
		if callback != nil {
			callback()
		}
		defer eng.release()
		wri.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		if flt == Reject || !admitted {
			wri.Header().Set("Not-Executed", "1")
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if flt == Early {
			eng.recordRun(req, "")
			eng.answerEarly(wri, req)
			return
		}
		if flt == EarlyPart {
			eng.recordRun(req, "")
			eng.recordSilent(req.Header.Get("Request-Id"))
			eng.sendEarlyPart(wri, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		eng.recordRun(req, string(body))
		if eng.cfg.CrashBody != "" && strings.Contains(string(body), eng.cfg.CrashBody) || HasPart(req, eng.cfg.CrashPart) {
			eng.cfg.Crash()
			panic(http.ErrAbortHandler)
		}
		eng.answer(wri, req, flt)
	})
}

// HasPart reports whether the request's prompt has a part with the id, in hexadecimal digits, that isn't its last one.
func HasPart(req *http.Request, id string) bool {
	parts := strings.Split(req.Header.Get("Prompt-Prefix"), ",")
	return id != "" && slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool { return strings.HasPrefix(part, id+":") })
}

// acquire counts the request as active until release is called. It returns the request's fault,
// whether the request is admitted, and the function set by OnNextRequest, if any.
func (eng *Engine) acquire() (Fault, bool, func()) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.active++
	flt := None
	if len(eng.faults) > 0 {
		flt, eng.faults = eng.faults[0], eng.faults[1:]
	}
	if flt == None {
		flt = eng.cfg.plannedFault(len(eng.runs))
	}
	callback := eng.onNextRequest
	eng.onNextRequest = nil
	return flt, eng.admits(), callback
}

// plannedFault returns the configured fault of the next answer, which simulates a faulty
// version.
func (cfg Config) plannedFault(answers int) Fault {
	answers -= cfg.Sound
	switch {
	case answers < 0:
		return None
	case cfg.FailEvery > 0 && answers%cfg.FailEvery == 0:
		return Error
	case cfg.SlowEvery > 0 && answers%cfg.SlowEvery == 0:
		return Slow
	default:
		return None
	}
}

func (eng *Engine) release() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.active--
}

func (eng *Engine) recordRun(req *http.Request, body string) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.runs = append(eng.runs, Run{
		ID: req.Header.Get("Request-Id"), At: time.Now(), Account: req.Header.Get("Tenant"), Deadline: req.Header.Get("Deadline-Ms"),
		LastEvent: req.Header.Get("Last-Event-Id"), Key: req.Header.Get("Authorization"), Target: req.RequestURI, Body: body,
	})
}

// slowAnswerDelay is the additional duration of a slow answer.
const slowAnswerDelay = 400 * time.Millisecond

// PlainBody returns the body of a plain answer to the request with the id.
func PlainBody(id string) string {
	return "answer to " + id
}

// EventText returns the event with the number of a stream that is numbered from 1 on, as it is sent.
func EventText(id string, number int) string {
	return FromOne.EventText(id, number)
}

// StreamBody returns the body of a complete stream that is numbered from 1 on.
func StreamBody(id string, events int) string {
	return FromOne.StreamBody(id, events)
}

// receivedEvents returns the number of events after which a request resumes its stream; 0 for a new one.
func (cfg Config) receivedEvents(req *http.Request) int {
	if cfg.IgnoresLastEvent {
		return 0
	}
	return cfg.EventIDs.NumberOf(req.Header.Get("Last-Event-Id"), cfg.Events)
}

// signature returns the signature of an answer. It ends with the version of the engine's software, if that is
// configured.
func signature(id, version string) string {
	return strings.TrimSuffix("signed-"+id+"-"+version, "-")
}

// SignedVersion returns the software version in the signature of an answer to the request with the id; empty if it
// has none.
func SignedVersion(text, id string) string {
	return strings.TrimPrefix(strings.TrimPrefix(text, "signed-"+id), "-")
}

func (eng *Engine) answer(wri http.ResponseWriter, req *http.Request, flt Fault) {
	id := req.Header.Get("Request-Id")
	if flt != Unsigned {
		wri.Header().Set("Response-Signature", signature(id, eng.cfg.Version))
	}
	if flt == Slow && !wait(req, slowAnswerDelay) {
		eng.recordSilent(id)
		eng.recordAbandoned()
		return
	}
	switch flt {
	case Error:
		wri.WriteHeader(http.StatusInternalServerError)
	case Hang:
		eng.recordSilent(id)
		<-req.Context().Done()
		eng.recordAbandoned()
	case DropAnswer:
		eng.recordSilent(id)
		panic(http.ErrAbortHandler)
	case Endless:
		eng.recordSilent(id)
		eng.writeEndless(wri, id)
	case Extra, StrayFirst, Unframed, UnframedReset, StatusZero, BlankInName:
		eng.writeRaw(wri, req, flt)
	default:
		if eng.cfg.Events > 0 {
			eng.stream(wri, req, flt)
			return
		}
		eng.plain(wri, id, flt)
	}
}

func (eng *Engine) plain(wri http.ResponseWriter, id string, flt Fault) {
	body := PlainBody(id)
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if flt == Truncate {
		// Only the first half of the body is sent.
		_, _ = io.WriteString(wri, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wri, body)
}

func (eng *Engine) recordAbandoned() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.abandoned++
}

// wait waits for the duration; it returns false if the client disconnects first.
func wait(req *http.Request, dur time.Duration) bool {
	if dur <= 0 {
		return req.Context().Err() == nil
	}
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

func (eng *Engine) stream(wri http.ResponseWriter, req *http.Request, flt Fault) {
	id := req.Header.Get("Request-Id")
	prompt, _, _ := strings.Cut(req.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	received := eng.cfg.receivedEvents(req)
	brk := eng.plannedBreak()
	wri.Header().Set("Content-Type", "text/event-stream")
	if !wait(req, time.Duration(tokens)*eng.cfg.Reading) {
		eng.recordSilent(id)
		eng.recordAbandoned()
		return
	}
	for num := received + 1; num <= eng.cfg.Events; num++ {
		event := eng.cfg.EventIDs.EventText(id, num)
		if brk != nil && num-received > brk.After {
			breakOff(wri, event, brk.Within)
		}
		middle := num == received+1+(eng.cfg.Events-received)/2
		if middle && flt == Truncate {
			panic(http.ErrAbortHandler)
		}
		if middle && flt == TruncateInEvent {
			breakOff(wri, event, true)
		}
		_, err := io.WriteString(wri, event)
		if err == nil {
			err = http.NewResponseController(wri).Flush()
		}
		if err != nil || !wait(req, eng.cfg.Step) {
			eng.recordAbandoned()
			return
		}
	}
}

// breakOff ends the connection, behind the first half of an event if it is to end within it.
func breakOff(wri http.ResponseWriter, event string, within bool) {
	if within {
		_, _ = io.WriteString(wri, event[:len(event)/2])
		_ = http.NewResponseController(wri).Flush()
	}
	panic(http.ErrAbortHandler)
}
