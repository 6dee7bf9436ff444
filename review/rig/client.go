package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxRest is four fifths of idle_timeout_ms, for which clients take up connections that have rested.
const maxRest = 12 * time.Second

// newID returns the id of a client's attempt: each has its own.
func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// answer is what a client received for one attempt.
type answer struct {
	status    int
	signature string
	header    http.Header
	body      string
	// err is set if the answer didn't arrive whole.
	err error
	// kept is set if the connection had carried another request before, and headless if it ended without the head of
	// an answer.
	kept, headless bool
}

// client keeps connections to hosts. It sends each attempt once and never repeats it by itself.
type client struct {
	mutex sync.Mutex
	idle  map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	// keptAt is when the connection was last used.
	keptAt time.Time
}

func newClient() *client { return &client{idle: make(map[string][]*clientConn)} }

func (cli *client) take(adr string) (*clientConn, error) {
	if con := cli.takeIdle(adr); con != nil {
		return con, nil
	}
	con, err := net.DialTimeout("tcp", adr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: con, reader: bufio.NewReader(con)}, nil
}

// takeIdle returns the connection that was used last, unless it has rested for longer than maxRest; nil for none.
func (cli *client) takeIdle(adr string) *clientConn {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	for list := cli.idle[adr]; len(list) > 0; list = cli.idle[adr] {
		con := list[len(list)-1]
		cli.idle[adr] = list[:len(list)-1]
		if time.Since(con.keptAt) < maxRest {
			return con
		}
		con.Close()
	}
	return nil
}

func (cli *client) keep(adr string, con *clientConn) {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	con.keptAt = time.Now()
	cli.idle[adr] = append(cli.idle[adr], con)
}

// send sends one attempt and returns its answer.
func (cli *client) send(adr, method, path, id string, header map[string]string, body string, limit time.Duration) answer {
	con, err := cli.take(adr)
	if err != nil {
		return answer{err: err}
	}
	_ = con.SetDeadline(time.Now().Add(limit))
	var req strings.Builder
	fmt.Fprintf(&req, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, hostName, id, limit.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&req, "%s: %s\r\n", name, value)
	}
	if body != "" {
		fmt.Fprintf(&req, "Content-Length: %d\r\n", len(body))
	}
	req.WriteString("\r\n" + body)
	if _, err := io.WriteString(con, req.String()); err != nil {
		con.Close()
		return answer{err: err}
	}
	kept := con.used
	con.used = true
	rep, err := http.ReadResponse(con.reader, &http.Request{Method: method})
	if err != nil {
		con.Close()
		return answer{err: err, kept: kept, headless: true}
	}
	data, err := io.ReadAll(rep.Body)
	ans := answer{status: rep.StatusCode, signature: rep.Header.Get("Response-Signature"), header: rep.Header, body: string(data), err: err, kept: kept}
	if err != nil || rep.Close {
		con.Close()
		return ans
	}
	cli.keep(adr, con)
	return ans
}
