package upstreamtest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// endlessRate is how many bytes of an endless answer are sent in a second, under half of the link of a host, and
	// endlessBlock how many at a time.
	endlessRate  = 60 << 20
	endlessBlock = 64 << 10
	// endlessTime bounds an endless answer whose client doesn't leave: the longest deadline of a client.
	endlessTime = 15 * time.Second
)

// endlessKinds are the starts of endless answers, and the parts that are then sent again and again. Each start may name the
// request's id once.
var endlessKinds = []struct{ start, part string }{
	{"", "z"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nA: ", "z"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "a: b\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx", "z"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n5;", "z"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\nConnection: close\r\n\r\n", "z"},
	{"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nConnection: close\r\n\r\n", "z"},
}

// writeEndless writes bytes until the client closes the connection.
func (eng *Engine) writeEndless(wri http.ResponseWriter, id string) {
	con, _, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer con.Close()
	eng.mutex.Lock()
	kind := endlessKinds[eng.endless%len(endlessKinds)]
	eng.endless++
	eng.mutex.Unlock()
	start := kind.start
	if strings.Contains(start, "%s") {
		start = fmt.Sprintf(start, id)
	}
	// The next write fails, too, if the client has left.
	_, _ = io.WriteString(con, start)
	block := []byte(strings.Repeat(kind.part, endlessBlock/len(kind.part)))
	tick := time.NewTicker(time.Second * endlessBlock / endlessRate)
	defer tick.Stop()
	for end := time.Now().Add(endlessTime); time.Now().Before(end); <-tick.C {
		if _, err := con.Write(block); err != nil {
			return
		}
	}
}
