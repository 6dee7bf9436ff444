package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an engine ran.
type run struct {
	engine, id, method, target, tenant string
	began                              time.Time
}

// engine is a sound engine of the users' platform, but for what the hooks do.
type engine struct {
	id, service, zone string
	// version is that of the engine's software.
	version  string
	listener net.Listener
	// events is the number of events of a stream, and step the time between them; 0 events answers without a stream.
	events int
	work   time.Duration
	// prefill is the time before the head of a stream.
	prefill time.Duration
	// unframed reports whether the next answer has neither a length nor chunks.
	unframed func() bool
	// surplus returns bytes that are sent behind the whole answer that was just given, in the place where the next
	// one is due; empty for none.
	surplus func(answered string) string
	// junk reports whether the next answer is replaced by bytes that form no answer.
	junk  func() bool
	ran   func(run)
	slots chan struct{}
	seq   atomic.Uint64
	ended atomic.Bool
	mutex sync.Mutex
	conns map[net.Conn]bool
}

func newEngine(id, service, zone string, slots int, address string) (*engine, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &engine{id: id, service: service, zone: zone, version: firstVersion, listener: lis, slots: make(chan struct{}, slots), conns: make(map[net.Conn]bool),
		unframed: func() bool { return false }, surplus: func(string) string { return "" }, junk: func() bool { return false }, ran: func(run) {}}, nil
}

// entry is the engine's entry in the store.
func (eng *engine) entry() map[string]any {
	return map[string]any{"service": eng.service, "address": eng.listener.Addr().String(), "zone": eng.zone, "version": eng.version, "slots": cap(eng.slots),
		"state": "ready", "cold_left_ms": 0, "seq": eng.seq.Add(1), "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}}
}

// beat writes the engine's entry every 1.2 s until it has ended.
func (eng *engine) beat(sys *system) {
	for !eng.ended.Load() {
		if err := sys.put("servers/"+eng.id, eng.entry(), false); err != nil {
			sys.rec.printf("engine %s: entry not written: %v", eng.id, err)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (eng *engine) serve() {
	for {
		con, err := eng.listener.Accept()
		if err != nil {
			return
		}
		go eng.handle(con)
	}
}

func (eng *engine) handle(con net.Conn) {
	defer con.Close()
	rea := bufio.NewReader(con)
	pending := ""
	for {
		req, err := http.ReadRequest(rea)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if pending != "" {
			if _, err := io.WriteString(con, pending); err != nil {
				return
			}
			pending = ""
		}
		id := req.Header.Get("Request-Id")
		if req.URL.Path == "/health" {
			fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", eng.id)
			continue
		}
		if want := req.Header.Get("Expect-Instance"); want != "" && want != eng.id {
			fmt.Fprintf(con, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, eng.id)
			continue
		}
		select {
		case eng.slots <- struct{}{}:
		default:
			fmt.Fprintf(con, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		eng.ran(run{engine: eng.id, id: id, method: req.Method, target: req.RequestURI, tenant: req.Header.Get("Tenant"), began: time.Now()})
		whole := eng.answer(con, req, id, string(body))
		<-eng.slots
		if !whole {
			return
		}
		pending = eng.surplus(id)
	}
}

// answer gives the whole answer, and reports whether the connection can be used again.
func (eng *engine) answer(con net.Conn, req *http.Request, id, body string) bool {
	if eng.junk() {
		sendJunk(con)
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\n", id, id)
	if eng.events == 0 {
		time.Sleep(eng.work)
		text := plainBody(id)
		_, err := fmt.Fprintf(con, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		return err == nil
	}
	time.Sleep(eng.prefill)
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	unframed := eng.unframed()
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(con, "%sContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n%s\r\n", head, framing); err != nil {
		return false
	}
	for num := first; num <= eng.events; num++ {
		time.Sleep(eng.work)
		evt := eventText(num, eng.version)
		if !unframed {
			evt = fmt.Sprintf("%x\r\n%s\r\n", len(evt), evt)
		}
		if _, err := io.WriteString(con, evt); err != nil {
			return false
		}
	}
	if unframed {
		return false
	}
	_, err := io.WriteString(con, "0\r\n\r\n")
	return err == nil
}

func plainBody(id string) string { return "label for " + id + strings.Repeat(".", 200) }

// firstVersion is the version of most engines' software.
const firstVersion = "v1"

// eventText is an event of a stream. It names the version that wrote it.
func eventText(num int, version string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of the plan by %s\n\n", num, num, version)
}

// streamText is the whole body of a stream.
func streamText(events int) string {
	var text strings.Builder
	for num := 1; num <= events; num++ {
		text.WriteString(eventText(num, firstVersion))
	}
	return text.String()
}

const (
	// junkRate is under half of the link of a host, link_mbps = 1000. junkLength is the deadline of the clients.
	junkRate   = 60 << 20
	junkBlock  = 64 << 10
	junkLength = 15 * time.Second
)

// sendJunk sends bytes that form no answer, for as long as the caller reads them and waits.
func sendJunk(con net.Conn) {
	block := []byte(strings.Repeat("z", junkBlock))
	start := time.Now()
	for sent := 0; time.Since(start) < junkLength; sent += junkBlock {
		if due := time.Duration(float64(sent) / junkRate * float64(time.Second)); due > time.Since(start) {
			time.Sleep(due - time.Since(start))
		}
		if _, err := con.Write(block); err != nil {
			return
		}
	}
}
