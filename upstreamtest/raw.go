package upstreamtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// writeRaw writes an answer directly to the connection, bypassing net/http's framing.
func (eng *Engine) writeRaw(wri http.ResponseWriter, req *http.Request, flt Fault) {
	id := req.Header.Get("Request-Id")
	con, buf, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer con.Close()
	body := eng.rawBody(req)
	signals := eng.signalHeader()
	switch flt {
	case Extra:
		writeFramed(buf, id, eng.cfg.Version, body, signals)
		writeFramed(buf, "other", eng.cfg.Version, PlainBody("other"), signals)
	case StrayFirst:
		writeFramed(buf, "other", eng.cfg.Version, PlainBody("other"), signals)
		writeFramed(buf, id, eng.cfg.Version, body, signals)
	case StatusZero:
		inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: 3\r\n\r\nbad", id, signature(id, eng.cfg.Version))
		fmt.Fprintf(buf, "HTTP/1.1 000 Broken\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)
	case BlankInName:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length : %d\r\n\r\n%sbehind it", id, signature(id, eng.cfg.Version), len(body), body)
	default:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n%s\r\n%s", id, signature(id, eng.cfg.Version), signals, body)
	}
	// Flush fails only if the client has disconnected.
	_ = buf.Flush()
	tcp, isTCP := con.(*net.TCPConn)
	if flt == UnframedReset && isTCP {
		_ = tcp.SetLinger(0)
		return
	}
	if flt == Extra || flt == StrayFirst {
		// The connection stays open for reuse until the client closes it.
		_, _ = io.Copy(io.Discard, con)
	}
}

// rawBody returns the body of the answer to a request.
func (eng *Engine) rawBody(req *http.Request) string {
	id := req.Header.Get("Request-Id")
	if eng.cfg.Events > 0 {
		ids := eng.cfg.EventIDs
		return strings.TrimPrefix(ids.StreamBody(id, eng.cfg.Events), ids.StreamBody(id, eng.cfg.receivedEvents(req)))
	}
	return PlainBody(id)
}

const (
	// longBodyBytes is the length from which on EarlyPart leaves a request's body unread.
	longBodyBytes = 2 << 10
	// earlyPartPause is the time between the end of the answer's part and the reset.
	earlyPartPause = 50 * time.Millisecond
)

// sendEarlyPart sends a part of an answer as EarlyPart says.
func (eng *Engine) sendEarlyPart(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	con, _, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer con.Close()
	body := eng.rawBody(req)
	// The client may have disconnected, so the errors don't matter.
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nConnection: close\r\n\r\n%s", id, signature(id, eng.cfg.Version), body[:len(body)/2])
	tcp, isTCP := con.(*net.TCPConn)
	if !isTCP {
		return
	}
	if req.ContentLength > longBodyBytes {
		_ = tcp.CloseWrite()
		wait(req, earlyPartPause)
	}
	_ = tcp.SetLinger(0)
}

// writeFramed writes an answer with Content-Length; header holds further header lines.
func writeFramed(buf *bufio.ReadWriter, id, version, body, header string) {
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, signature(id, version), len(body), header, body)
}

// answerEarly answers before it has read the request's body, then reads the body and
// serves further requests on the connection.
func (eng *Engine) answerEarly(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	con, buf, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer con.Close()
	fmt.Fprintf(buf, "HTTP/1.1 413 Request Entity Too Large\r\nRequest-Id: %s\r\nResponse-Signature: signed-%s\r\nContent-Length: 0\r\n\r\n", id, id)
	// Flush fails only if the client has disconnected.
	_ = buf.Flush()
	if _, err := io.CopyN(io.Discard, buf, req.ContentLength); err != nil {
		return
	}
	for {
		next, err := http.ReadRequest(buf.Reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(next.Body)
		if err != nil {
			return
		}
		eng.recordRun(next, string(body))
		nextID := next.Header.Get("Request-Id")
		writeFramed(buf, nextID, eng.cfg.Version, PlainBody(nextID), eng.signalHeader())
		if buf.Flush() != nil {
			return
		}
	}
}

// SendHead sends the head of a signed answer that has neither a length nor chunks, and returns a function that ends it
// by closing its connection.
func SendHead(wri http.ResponseWriter, id string) func() {
	con, _, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return func() {}
	}
	// The client may have disconnected, so the errors don't matter.
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, signature(id, ""))
	return func() { _ = con.Close() }
}
