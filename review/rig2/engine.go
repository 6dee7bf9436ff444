package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that an engine ran.
type run struct {
	engine, id, method, target, lastEvent string
	tokens                                int
	at                                    time.Time
}

// engine is a stand-in of an engine or application server.
type engine struct {
	id, service, zone string
	store             *platformStore
	server            *http.Server
	address           string
	// stop is closed when the engine crashes, left when it has left.
	stop, left chan struct{}
	// events is the number of events of a stream; 0 for a plain answer. eventText returns an event.
	events    int
	eventText func(id string, number int) string
	// firstEvent is the number of the first event.
	firstEvent int
	step       time.Duration
	// beforeEvent is called before an event is sent, with its text. It returns what is sent of it, and whether the
	// engine crashes then.
	beforeEvent func(eng *engine, id string, number int, text string) (string, bool)
	mutex       sync.Mutex
	runs        []run
}

const heartbeat = 1200 * time.Millisecond

func (eng *engine) start() {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	eng.address, eng.stop, eng.left = lis.Addr().String(), make(chan struct{}), make(chan struct{})
	eng.server = &http.Server{Handler: http.HandlerFunc(eng.serve)}
	go eng.server.Serve(lis)
	go func() {
		for seq := 1; ; seq++ {
			entry, _ := json.Marshal(map[string]any{
				"service": eng.service, "address": eng.address, "zone": eng.zone, "version": "v1", "slots": 10, "state": "ready", "cold_left_ms": 0, "seq": seq,
			})
			eng.store.put("servers/"+eng.id, entry, 0)
			select {
			case <-time.After(heartbeat):
			case <-eng.left:
				return
			case <-eng.stop:
				time.Sleep(3 * heartbeat)
				eng.store.remove("servers/" + eng.id)
				return
			}
		}
	}()
}

// leave takes the engine's entry away; it serves on for a time and ends then. It returns when the store has acknowledged.
func (eng *engine) leave(serveOn time.Duration) time.Time {
	close(eng.left)
	eng.store.remove("servers/" + eng.id)
	record("engine %s leaves, its entry has gone", eng.id)
	time.AfterFunc(serveOn, func() {
		record("engine %s ends", eng.id)
		eng.server.Close()
	})
	return time.Now()
}

// crash ends the engine without a word.
func (eng *engine) crash() {
	record("engine %s crashes", eng.id)
	close(eng.stop)
	eng.server.Close()
}

func (eng *engine) serve(wri http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != eng.id {
		wri.Header().Set("Instance-Id", eng.id)
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" && req.Header.Get("Request-Id") == "" {
		wri.Header().Set("Instance-Id", eng.id)
		return
	}
	io.Copy(io.Discard, req.Body)
	id := req.Header.Get("Request-Id")
	if id == "" {
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	tokens := 0
	for _, text := range strings.Split(req.Header.Get("Token-Counts"), ",") {
		count, _ := strconv.Atoi(text)
		tokens += count
	}
	eng.mutex.Lock()
	eng.runs = append(eng.runs, run{engine: eng.id, id: id, tokens: tokens, method: req.Method, target: req.RequestURI, lastEvent: req.Header.Get("Last-Event-Id"), at: time.Now()})
	eng.mutex.Unlock()
	wri.Header().Set("Request-Id", id)
	wri.Header().Set("Response-Signature", "signed-"+id)
	wri.Header().Set("Engine-Load", "1,0,10")
	if eng.events == 0 {
		time.Sleep(15 * time.Millisecond)
		io.WriteString(wri, plainBody(id))
		return
	}
	eng.stream(wri, req, id)
}

func plainBody(id string) string { return "answer to " + id + strings.Repeat(".", 800) }

func (eng *engine) stream(wri http.ResponseWriter, req *http.Request, id string) {
	record("engine %s runs %s, Last-Event-Id %q", eng.id, id, req.Header.Get("Last-Event-Id"))
	wri.Header().Set("Content-Type", "text/event-stream")
	first := eng.firstEvent
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	controller := http.NewResponseController(wri)
	for num := first; num < eng.firstEvent+eng.events; num++ {
		text, crashes := eng.eventText(id, num), false
		if eng.beforeEvent != nil {
			text, crashes = eng.beforeEvent(eng, id, num, text)
		}
		io.WriteString(wri, text)
		if controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(eng.step):
		case <-req.Context().Done():
			return
		}
		if crashes {
			eng.crash()
			panic(http.ErrAbortHandler)
		}
	}
}

func shortEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// allRuns returns the runs of all engines.
func allRuns(engines []*engine) []run {
	var runs []run
	for _, eng := range engines {
		eng.mutex.Lock()
		runs = append(runs, eng.runs...)
		eng.mutex.Unlock()
	}
	return runs
}
