package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/backend"
)

// answer is a sink that keeps the body.
type answer struct{ body strings.Builder }

func (ans *answer) Head(int, http.Header) {}

func (ans *answer) Data(data []byte) { ans.body.Write(data) }

// callServer calls a server that sends bytes behind the head of a request, and ends its side of the connection. With whole
// it reads the body first.
func callServer(t *testing.T, sent string, whole bool) backend.Result {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	go func() {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		defer con.Close()
		req, err := http.ReadRequest(bufio.NewReader(con))
		if err != nil {
			return
		}
		if whole {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = io.WriteString(con, sent)
		if tcp, isTCP := con.(*net.TCPConn); isTCP && !whole {
			_ = tcp.CloseWrite()
			<-t.Context().Done()
		}
	}()
	cli := backend.NewClient(backend.ClientConfig{})
	defer cli.Close()
	return cli.Call(t.Context(), backend.Call{
		Address: netip.MustParseAddrPort(lis.Addr().String()), Method: http.MethodPost, Path: "/", Body: []byte(strings.Repeat("x", 8<<20)),
	}, &answer{})
}

// Guards against a part of an answer that counts as the whole (MIXED): the server ended its side of the connection before it
// had read the call.
func TestUnframedAnswerToUnreadCallIsIncomplete(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
	assert.Assert(t, !callServer(t, unframed, false).Complete)
	assert.Assert(t, callServer(t, unframed, true).Complete)
	assert.Assert(t, callServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", false).Complete)
}
