// Package upstreamtest is a stand-in of the engines and backend servers of the
// users' platform, with the troubles that they may have.
//
// # Usage
//
//	eng := upstreamtest.NewEngine(upstreamtest.Config{ID: "e1", Service: "menus", Slots: 4, Events: 3})
//	http.Serve(lis, eng.Handler())
//	eng.Trouble(upstreamtest.CutInEvent, 1) // the next request has it
//	runs := eng.Runs()                      // what it ran
//
// It names the wire's headers by itself, so that a mistake of the adapter's shows.
package upstreamtest

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Trouble is something wrong with an answer.
type Trouble uint8

// The troubles.
const (
	// None is a sound answer.
	None Trouble = iota
	// Error runs the request and answers with a signed 500.
	Error
	// TurnAway doesn't run the request and says so.
	TurnAway
	// Hang runs the request and stays silent until its connection ends.
	Hang
	// Lose runs the request and ends the connection without an answer.
	Lose
	// Cut breaks a whole answer off, or a stream between two events.
	Cut
	// CutInEvent breaks a stream off inside an event.
	CutInEvent
	// Extra sends a second answer behind the first.
	Extra
	// StrayFirst sends an answer of another request first.
	StrayFirst
	// Unframed sends an answer whose end is its connection's.
	Unframed
	// UnframedReset sends such an answer and resets the connection instead.
	UnframedReset
	// Unsigned answers with a success that no work stands behind.
	Unsigned
	// Slow takes a long time for the answer.
	Slow
	// Early answers before the body has been read, and reads on later.
	Early
)

// Config holds what an Engine is made from.
type Config struct {
	// ID is the run of the engine; others in Expect-Instance are turned away.
	ID      string
	Service string
	// Slots is how many requests run at a time; as many again wait. 0 is no bound.
	Slots int
	// Events is the length of a stream; 0 has every answer be a plain one.
	Events int
	// Reading is the time to read a prompt's token, Step that between two events.
	Reading time.Duration
	Step    time.Duration
	// Version is that of its software; empty stands for "v1".
	Version string
	// Domain is its failure domain; empty stands for "d0".
	Domain string
	// FailEvery has each so many-th answer be a failure, and SlowEvery take a long time; 0
	// for none.
	FailEvery int
	SlowEvery int
	// Sound is how many answers are sound before.
	Sound int
	// CrashBody ends the engine when it runs a request whose body holds it; empty for none.
	// Crash is called then, and ends it.
	CrashBody string
	Crash     func()
}

// Run is a request that the engine ran.
type Run struct {
	ID string
	// At is when it began.
	At        time.Time
	Account   string
	Deadline  string
	LastEvent string
	Key       string
	Target    string
	Body      string
}

// Engine is the stand-in.
type Engine struct {
	cfg      Config
	mutex    sync.Mutex
	faults []Trouble
	runs     []Run
	active    int
	// left counts the requests whose connection ended before their answer did.
	abandoned int
	// onNextRequest is called once, at the next request.
	onNextRequest func()
	// leaves has every answer say that the engine leaves; over 0, pause has it turn all
	// requests away and ask for so long a pause.
	draining bool
	backoff  time.Duration
	// rate is what all answers name as the most requests a second; nil for nothing.
	rateLimit     *float64
	arrivals []Arrival
	// coldRate is what the engine bears until coldUntil; fallen says that it got more.
	coldRate  float64
	coldUntil time.Time
	crashed    bool
}

// NewEngine returns a sound engine.
func NewEngine(cfg Config) *Engine {
	return &Engine{cfg: cfg}
}

// ID returns the engine's run.
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

// Slots returns how many requests run at a time.
func (eng *Engine) Slots() int { return max(1, eng.cfg.Slots) }

// Trouble has the next requests meet a trouble.
func (eng *Engine) Trouble(trb Trouble, times int) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	for range times {
		eng.faults = append(eng.faults, trb)
	}
}

// Clear takes back all troubles to come.
func (eng *Engine) Clear() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.faults = nil
}

// OnTaken has a function called once, when the next request has its trouble.
func (eng *Engine) OnTaken(call func()) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.onNextRequest = call
}

// Runs returns what the engine ran, in order.
func (eng *Engine) Runs() []Run {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return append([]Run(nil), eng.runs...)
}

// Left returns how many requests were given up before their answer's end.
func (eng *Engine) Left() int {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return eng.abandoned
}

// Handler returns the HTTP handler.
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
		if eng.sendSignals(wri, req) {
			return
		}
		trb, room, taken := eng.acquire()
		if taken != nil {
			taken()
		}
		defer eng.release()
		wri.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		if trb == TurnAway || !room {
			wri.Header().Set("Not-Executed", "1")
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if trb == Early {
			eng.recordRun(req, "")
			eng.answerEarly(wri, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		eng.recordRun(req, string(body))
		if eng.cfg.CrashBody != "" && strings.Contains(string(body), eng.cfg.CrashBody) {
			eng.cfg.Crash()
			panic(http.ErrAbortHandler)
		}
		eng.answer(wri, req, trb)
	})
}

// enter takes the next trouble and a place.
func (eng *Engine) acquire() (Trouble, bool, func()) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.active++
	trb := None
	if len(eng.faults) > 0 {
		trb, eng.faults = eng.faults[0], eng.faults[1:]
	}
	if trb == None {
		trb = eng.cfg.plannedFault(len(eng.runs))
	}
	taken := eng.onNextRequest
	eng.onNextRequest = nil
	return trb, eng.cfg.Slots == 0 || eng.active <= 2*eng.cfg.Slots, taken
}

// plannedFault returns what is wrong with the next answer of a version that is bad.
func (cfg Config) plannedFault(answers int) Trouble {
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

// slowAnswerDelay is what an answer takes longer that is slow.
const slowAnswerDelay = 400 * time.Millisecond

// PlainBody is the body of a plain answer to a request.
func PlainBody(id string) string {
	return "answer to " + id
}

// EventText is one event of a stream.
func EventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}

// StreamBody is the body of a whole stream.
func StreamBody(id string, events int) string {
	var text strings.Builder
	for num := 1; num <= events; num++ {
		text.WriteString(EventText(id, num))
	}
	return text.String()
}

func (eng *Engine) answer(wri http.ResponseWriter, req *http.Request, trb Trouble) {
	id := req.Header.Get("Request-Id")
	if trb != Unsigned {
		wri.Header().Set("Response-Signature", "signed-"+id)
	}
	if trb == Slow && !wait(req, slowAnswerDelay) {
		eng.recordSilent(id)
		eng.recordAbandoned()
		return
	}
	switch trb {
	case Error:
		wri.WriteHeader(http.StatusInternalServerError)
	case Hang:
		eng.recordSilent(id)
		<-req.Context().Done()
		eng.recordAbandoned()
	case Lose:
		eng.recordSilent(id)
		panic(http.ErrAbortHandler)
	case Extra, StrayFirst, Unframed, UnframedReset:
		eng.writeRaw(wri, id, trb)
	default:
		if eng.cfg.Events > 0 {
			eng.stream(wri, req, trb)
			return
		}
		eng.plain(wri, id, trb)
	}
}

func (eng *Engine) plain(wri http.ResponseWriter, id string, trb Trouble) {
	body := PlainBody(id)
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if trb == Cut {
		// The rest never comes.
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

// wait lets time pass, unless the request is given up.
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

func (eng *Engine) stream(wri http.ResponseWriter, req *http.Request, trb Trouble) {
	id := req.Header.Get("Request-Id")
	prompt, _, _ := strings.Cut(req.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	wri.Header().Set("Content-Type", "text/event-stream")
	if !wait(req, time.Duration(tokens)*eng.cfg.Reading) {
		eng.recordSilent(id)
		eng.recordAbandoned()
		return
	}
	for num := first + 1; num <= eng.cfg.Events; num++ {
		event := EventText(id, num)
		middle := num == first+1+(eng.cfg.Events-first)/2
		if middle && trb == Cut {
			panic(http.ErrAbortHandler)
		}
		if middle && trb == CutInEvent {
			_, _ = io.WriteString(wri, event[:len(event)/2])
			_ = http.NewResponseController(wri).Flush()
			panic(http.ErrAbortHandler)
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
