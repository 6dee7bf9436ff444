package transport_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/transport"
)

// Heads that net/http reads, and whether they are answers of HTTP/1.
var heads = map[string]bool{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n":                                  true,
	"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n":                                  true,
	"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n":                                 true,
	"HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~1: x\r\nContent-Length: 2\r\n":          true,
	"HTTP/1.1 200 OK\r\nA: folded\r\n lines\r\nContent-Length: 2\r\n":           true,
	"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n":                                false,
	"HTTP/1.1 099 Low\r\nContent-Length: 2\r\n":                                 false,
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n": false,
	"HTTP/1.1 600 High\r\nContent-Length: 2\r\n":                                false,
	"HTTP/1.1 999 Highest\r\nContent-Length: 2\r\n":                             false,
	"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n":                                  false,
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n":                                 false,
	"HTTP/1.1 200 OK\r\nContent Length: 2\r\n":                                  false,
	"HTTP/1.1 200 OK\r\nA  : 1\r\nContent-Length: 2\r\n":                        false,
}

func TestCheckHead(t *testing.T) {
	for head, sound := range heads {
		rep, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\nok")), nil)
		assert.NilError(t, err, "%q", head)
		err = transport.CheckHead(rep)
		assert.NilError(t, rep.Body.Close())
		var mhe *transport.MalformedHeadError
		assert.Equal(t, errors.As(err, &mhe), !sound, "%q: %v", head, err)
	}
}

// Guards against the same faults where answers are read by net/http's client: those of the store and of other hosts.
func TestCheckedTransportRefusesMalformedHeads(t *testing.T) {
	for head, sound := range heads {
		var cfg net.ListenConfig
		lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			defer con.Close()
			if _, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
				_, _ = io.WriteString(con, head+"\r\nok")
			}
		}()
		cli := &http.Client{Transport: transport.Checked(transport.New(0))}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+lis.Addr().String(), http.NoBody)
		assert.NilError(t, err)
		rep, err := cli.Do(req)
		assert.Equal(t, err == nil, sound, "%q: %v", head, err)
		if err == nil {
			_, err = io.ReadAll(rep.Body)
			assert.NilError(t, err)
			assert.NilError(t, rep.Body.Close())
		}
		assert.NilError(t, lis.Close())
	}
}
