package upstreamtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// raw writes answers byte by byte, beside the library's framing.
func (eng *Engine) writeRaw(wri http.ResponseWriter, id string, trb Trouble) {
	con, buf, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer con.Close()
	body := PlainBody(id)
	if eng.cfg.Events > 0 {
		body = StreamBody(id, eng.cfg.Events)
	}
	more := eng.signalHeader()
	switch trb {
	case Extra:
		writeFramed(buf, id, body, more)
		writeFramed(buf, "other", PlainBody("other"), more)
	case StrayFirst:
		writeFramed(buf, "other", PlainBody("other"), more)
		writeFramed(buf, id, body, more)
	default:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed-%s\r\n%s\r\n%s", id, id, more, body)
	}
	// Whoever reads may be gone.
	_ = buf.Flush()
	tcp, isTCP := con.(*net.TCPConn)
	if trb == UnframedReset && isTCP {
		_ = tcp.SetLinger(0)
		return
	}
	if trb == Extra || trb == StrayFirst {
		// The connection stays open, as a kept one does, until the other end closes it.
		_, _ = io.Copy(io.Discard, con)
	}
}

func writeFramed(buf *bufio.ReadWriter, id, body, more string) {
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed-%s\r\nContent-Length: %d\r\n%s\r\n%s", id, id, len(body), more, body)
}

// early answers before it has read the body, reads the rest later, and goes on
// with what follows on the connection.
func (eng *Engine) answerEarly(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	con, buf, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer con.Close()
	fmt.Fprintf(buf, "HTTP/1.1 413 Request Entity Too Large\r\nRequest-Id: %s\r\nResponse-Signature: signed-%s\r\nContent-Length: 0\r\n\r\n", id, id)
	// Whoever reads may be gone.
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
		name := next.Header.Get("Request-Id")
		writeFramed(buf, name, PlainBody(name), eng.signalHeader())
		if buf.Flush() != nil {
			return
		}
	}
}
