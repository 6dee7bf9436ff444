package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/upstream"
)

// serveOnce starts an engine that handles the connection of one call, behind the head of its request, and closes it.
func serveOnce(t *testing.T, handle func(con *net.TCPConn, request *bufio.Reader)) netip.AddrPort {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		opened, err := lis.Accept()
		if err != nil {
			return
		}
		defer opened.Close()
		con, isTCP := opened.(*net.TCPConn)
		if !isTCP {
			return
		}
		rea := bufio.NewReaderSize(con, 16)
		for line := "first"; line != "\r\n" && err == nil; {
			line, err = rea.ReadString('\n')
		}
		handle(con, rea)
	}()
	return netip.MustParseAddrPort(lis.Addr().String())
}

const (
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	unframedBody = "part of the answer"
)

// endDialer opens connections that tell when their caller has read the end of the other side.
type endDialer struct{ ended chan struct{} }

// DialContext implements upstream.Dialer.
func (edi *endDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &endConn{TCPConn: opened.(*net.TCPConn), ended: sync.OnceFunc(func() { close(edi.ended) })}, nil
}

type endConn struct {
	*net.TCPConn
	ended func()
}

func (eco *endConn) Read(buf []byte) (int, error) {
	count, err := eco.TCPConn.Read(buf)
	if err != nil {
		eco.ended()
	}
	return count, err
}

// Guards against a part of an answer that a client gets as the whole (MIXED): an engine answered a long upload at once,
// without a length, ended its side and reset the connection while the upload was on its way.
func TestUnframedAnswerToUploadThatIsNotReadIsIncomplete(t *testing.T) {
	reset := func(con *net.TCPConn, _ *bufio.Reader, ended <-chan struct{}) {
		_, _ = io.WriteString(con, unframedHead+unframedBody)
		_ = con.CloseWrite()
		<-ended
		_ = con.SetLinger(0)
	}
	closed := func(con *net.TCPConn, _ *bufio.Reader, _ <-chan struct{}) {
		_, _ = io.WriteString(con, unframedHead+unframedBody)
	}
	// RFC 9112, 9.6: a server that closes ends its own side first, and reads on.
	sound := func(con *net.TCPConn, request *bufio.Reader, _ <-chan struct{}) {
		_, _ = io.WriteString(con, unframedHead+unframedBody)
		_ = con.CloseWrite()
		_, _ = io.Copy(io.Discard, request)
	}
	for _, tst := range []struct {
		name   string
		handle func(*net.TCPConn, *bufio.Reader, <-chan struct{})
		whole  bool
	}{{"reset", reset, false}, {"closed unread", closed, false}, {"sound", sound, true}} {
		for _, size := range []int{3 << 10, 64 << 10, 1 << 20, 8 << 20} {
			t.Run(fmt.Sprintf("%s/%d bytes", tst.name, size), func(t *testing.T) {
				t.Parallel()
				for range 5 {
					dialer := &endDialer{ended: make(chan struct{})}
					cal := newCall(upstream.Endpoint{Address: serveOnce(t, func(con *net.TCPConn, request *bufio.Reader) { tst.handle(con, request, dialer.ended) })})
					cal.Method, cal.Body = http.MethodPost, []byte(strings.Repeat("x", size))
					ans, err := newClientWith(t, dialer).Do(t.Context(), cal)
					var body []byte
					if err == nil {
						body, err = ans.ReadAll(1 << 20)
						ans.Close()
					}
					assert.Equal(t, err == nil, tst.whole, "%q, %v", body, err)
					assert.Assert(t, !tst.whole || string(body) == unframedBody)
				}
			})
		}
	}
}

// A sound engine reads a request before it answers. Its answer isn't held back for the upload.
func TestUnframedAnswerToReadUploadIsComplete(t *testing.T) {
	for _, size := range []int{0, 1 << 10, 3 << 10, 1 << 20} {
		cal := newCall(upstream.Endpoint{Address: serveOnce(t, func(con *net.TCPConn, request *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, request, int64(size))
			_, _ = io.WriteString(con, unframedHead+unframedBody)
		})})
		cal.Method, cal.Body = http.MethodPost, []byte(strings.Repeat("x", size))
		ans, err := newClient(t).Do(t.Context(), cal)
		assert.NilError(t, err)
		body, err := ans.ReadAll(1 << 20)
		ans.Close()
		assert.NilError(t, err, "%d bytes", size)
		assert.Equal(t, string(body), unframedBody)
	}
}
