package embedded_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalledClients is the number of stalled clients that are connected at the same time.
const stalledClients = 50

// Guards against clients that send part of a request and then stall: they must neither block
// other clients nor cause a dispatch when they disconnect.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	sys := startSystem(t)
	var dialer net.Dialer
	var stalled []net.Conn
	for range stalledClients {
		con, err := dialer.DialContext(t.Context(), "tcp", sys.ClientAddresses()[0].String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(con, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{\"model\"", accountKey)
		assert.NilError(t, err)
		stalled = append(stalled, con)
	}
	rep, body := clientRequest{"POST", "/v1/chat/completions", chat, nil}.send(t, sys)
	assert.Equal(t, rep.StatusCode, 200, body)
	for _, con := range stalled {
		assert.NilError(t, con.Close())
	}
	assert.Equal(t, len(sys.Dispatches()), 1)
}

// Guards against reading a chunked body endlessly: the host must reject the request as soon
// as the body exceeds the service's limit.
func TestEndlessBodyIsRejected(t *testing.T) {
	sys := startSystem(t)
	var dialer net.Dialer
	con, err := dialer.DialContext(t.Context(), "tcp", sys.ClientAddresses()[0].String())
	assert.NilError(t, err)
	defer con.Close()
	assert.NilError(t, con.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(con, "POST /services/labels/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", accountKey)
	assert.NilError(t, err)
	go func() {
		chunk := "400\r\n" + string(make([]byte, 1024)) + "\r\n"
		for {
			if _, werr := io.WriteString(con, chunk); werr != nil {
				return
			}
		}
	}()
	line, err := bufio.NewReader(con).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 413 Request Entity Too Large\r\n")
}
