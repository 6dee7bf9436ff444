package upstream_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/upstream"
)

// Guards against a part of an answer that a client gets as a whole one (MIXED, ORDER): an engine closes, in order, anywhere in its
// answer. Without a length the end of the head is the first place where it may be complete: entry looks at the engine then.
func TestAnswerThatIsCutAnywhereIsIncomplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\n"
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	for _, tst := range []struct {
		name, answer string
		// whole is the length from which on the answer is complete.
		whole int
	}{
		{"length", head + "Content-Length: 4\r\n\r\nbody", len(head + "Content-Length: 4\r\n\r\nbody")},
		{"empty", head + "Content-Length: 0\r\n\r\n", len(head + "Content-Length: 0\r\n\r\n")},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", len(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")},
		{"neither", head + "\r\nbody", len(head + "\r\n")},
		{"behind hints", hints + head + "Content-Length: 4\r\n\r\nbody", len(hints + head + "Content-Length: 4\r\n\r\nbody")},
	} {
		t.Run(tst.name, func(t *testing.T) {
			for cut := range len(tst.answer) + 1 {
				cal := newCall(upstream.Endpoint{Address: serveOnce(t, func(con *net.TCPConn, _ *bufio.Reader) {
					_, _ = io.WriteString(con, tst.answer[:cut])
				})})
				ans, err := newClient(t).Do(t.Context(), cal)
				if err == nil {
					_, err = ans.ReadAll(1 << 10)
					ans.Close()
				}
				assert.Equal(t, err == nil, cut >= tst.whole, "%q: %v", tst.answer[:cut], err)
			}
		})
	}
}
