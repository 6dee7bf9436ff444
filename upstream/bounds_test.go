package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/transport"
	"lynxwell.dev/lynxwell/upstream"
)

// mostSent ends the endless bytes of a test whose bounds don't hold, so that it fails before the machine is out of memory.
const mostSent = 64 << 20

// scriptedEngine is an engine whose connections send a start and then, up to mostSent bytes, a part again and again. It
// counts what its caller reads.
type scriptedEngine struct {
	start, repeated string
	// later is the start of the connections from the time on at which it is set.
	later atomic.Pointer[string]
	// isBounded is set if the connections end by themselves, so that what all of them send isn't bounded by mostSent.
	isBounded bool
	read      atomic.Int64
	opened    atomic.Int64
}

// DialContext implements upstream.Dialer.
func (sce *scriptedEngine) DialContext(context.Context, string, string) (net.Conn, error) {
	defer sce.opened.Add(1)
	start := sce.start
	if later := sce.later.Load(); later != nil {
		start = *later
	}
	return &scriptedConn{engine: sce, left: start, closed: make(chan struct{})}, nil
}

type scriptedConn struct {
	net.Conn
	engine *scriptedEngine
	left   string
	once   sync.Once
	closed chan struct{}
}

func (scc *scriptedConn) Read(buf []byte) (int, error) {
	if scc.left == "" {
		scc.left = scc.engine.repeated
	}
	if scc.left == "" {
		<-scc.closed
		return 0, net.ErrClosed
	}
	if !scc.engine.isBounded && scc.engine.read.Load() > mostSent {
		return 0, io.ErrUnexpectedEOF
	}
	count := copy(buf, scc.left)
	scc.left = scc.left[count:]
	scc.engine.read.Add(int64(count))
	return count, nil
}

func (scc *scriptedConn) Write(data []byte) (int, error) { return len(data), nil }

func (scc *scriptedConn) Close() error {
	scc.once.Do(func() { close(scc.closed) })
	return nil
}

func (scc *scriptedConn) SetDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		return scc.Close()
	}
	return nil
}

func (sce *scriptedEngine) client(t *testing.T) *upstream.Client {
	t.Helper()
	cli := upstream.NewClient(upstream.ClientConfig{Dialer: sce, Decode: func(_ int, header http.Header) call.AnswerHead {
		return call.AnswerHead{ID: header.Get("Request-Id")}
	}})
	t.Cleanup(cli.Close)
	return cli
}

const (
	// bodyLimit is the limit with which the tests read a body.
	bodyLimit = 1 << 20
	// mostRead is more than the bounds allow to be read of one answer: those of four heads, the bodies between them, an
	// event and the read buffers.
	mostRead = 6 << 20
	// mostEvents is the number of events after which a client leaves.
	mostEvents = 100
	signed     = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
	stray      = "HTTP/1.1 200 OK\r\nRequest-Id: another\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
)

// endless are bytes that don't end.
var endless = map[string]scriptedEngine{
	"status line":            {repeated: strings.Repeat("z", 100)},
	"header line":            {start: signed + "A: ", repeated: strings.Repeat("z", 100)},
	"headers":                {start: signed, repeated: "a: b\r\n"},
	"folded header":          {start: signed + "A: b\r\n", repeated: " c\r\n"},
	"informational answers":  {repeated: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"informational head":     {start: "HTTP/1.1 103 Early Hints\r\n", repeated: "a: b\r\n"},
	"body":                   {start: signed + "Content-Length: 1099511627776\r\n\r\n", repeated: strings.Repeat("z", 100)},
	"body without length":    {start: signed + "Connection: close\r\n\r\n", repeated: strings.Repeat("z", 100)},
	"chunks":                 {start: signed + chunked, repeated: "5\r\nid: 1\r\n"},
	"chunk extension":        {start: signed + chunked + "5;", repeated: strings.Repeat("z", 100)},
	"chunk size":             {start: signed + chunked, repeated: strings.Repeat("0", 100)},
	"trailer":                {start: signed + chunked + "0\r\n", repeated: "A: b\r\n"},
	"event":                  {start: signed + chunked, repeated: "6\r\ndata: \r\n"},
	"stray answer's body":    {start: stray + "Content-Length: 1099511627776\r\n\r\n", repeated: strings.Repeat("z", 100)},
	"behind a stray answer":  {start: stray + "Content-Length: 1\r\n\r\nx", repeated: strings.Repeat("z", 100)},
	"stray answers":          {repeated: stray + "Content-Length: 1\r\n\r\nx"},
	"stray answer's trailer": {start: stray + chunked + "0\r\n", repeated: "A: b\r\n"},
}

// readAnswer makes a call and reads its answer to the end, as events if streaming is set.
func readAnswer(ctx context.Context, cli *upstream.Client, streaming bool) error {
	ans, err := cli.Do(ctx, newCall(upstream.Endpoint{Address: netip.MustParseAddrPort("127.0.0.1:1")}))
	if err != nil {
		return err
	}
	defer ans.Close()
	if !streaming {
		_, err = ans.ReadAll(bodyLimit)
		return err
	}
	reader := ans.Events()
	for range mostEvents {
		if _, err := reader.Next(); err != nil {
			return err
		}
	}
	return nil
}

// Guards against hosts that hold what an engine sends without an end: the head of an answer was read without a bound, and
// took hosts over their memory.
func TestEndlessAnswersEndWithinBounds(t *testing.T) {
	for name := range endless {
		t.Run(name, func(t *testing.T) {
			for _, streaming := range []bool{false, true} {
				eng := &scriptedEngine{start: endless[name].start, repeated: endless[name].repeated}
				err := readAnswer(t.Context(), eng.client(t), streaming)
				assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "streaming %t: %v", streaming, err)
				assert.Assert(t, eng.read.Load() <= mostRead, "streaming %t: %d bytes read", streaming, eng.read.Load())
			}
		})
	}
}

// A head of the size limit is read, a larger one isn't.
func TestHeadLimit(t *testing.T) {
	for _, tst := range []struct {
		size    int
		allowed bool
	}{{transport.MaxHeadBytes - 100, true}, {transport.MaxHeadBytes + 1, false}} {
		eng := &scriptedEngine{start: signed + "A: " + strings.Repeat("z", tst.size-len(signed)-len("A: ")) + "\r\nContent-Length: 1\r\n\r\nx"}
		err := readAnswer(t.Context(), eng.client(t), false)
		var tooLarge *upstream.HeadTooLargeError
		assert.Equal(t, errors.As(err, &tooLarge), !tst.allowed, "%d: %v", tst.size, err)
		assert.Equal(t, err == nil, tst.allowed, "%d: %v", tst.size, err)
	}
}

// heldAnswer calls an engine that sends a large part of a body and then nothing more, until the context ends.
func heldAnswer(ctx context.Context, cli *upstream.Client) error {
	ans, err := cli.Do(ctx, newCall(upstream.Endpoint{Address: netip.MustParseAddrPort("127.0.0.1:1")}))
	if err != nil {
		return err
	}
	defer ans.Close()
	_, err = ans.ReadAll(64 << 20)
	return err
}

// Guards against hosts that hold too much of many answers at once, each of which is within its own bound. Small answers are
// read meanwhile.
func TestAnswersTogetherAreBounded(t *testing.T) {
	const calls, size, mostHeld = 100, 1 << 20, 33 << 20
	large := &scriptedEngine{start: signed + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*size) + strings.Repeat("z", size), isBounded: true}
	cli := large.client(t)
	// The calls end by themselves if nothing is refused.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	refused := make(chan error, calls)
	for range calls {
		wait.Go(func() { refused <- heldAnswer(ctx, cli) })
	}
	// All calls hold a part, or are refused for it: two thirds of them can't.
	var held *upstream.HeldBytesError
	for range calls / 2 {
		assert.Assert(t, errors.As(<-refused, &held))
	}
	assert.Assert(t, cli.Held() <= mostHeld, "%d", cli.Held())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if large.opened.Load() == calls {
			return poll.Success()
		}
		return poll.Continue("%d connections are open", large.opened.Load())
	}, poll.WithDelay(time.Millisecond))
	sound := signed + "Content-Length: 5\r\n\r\nsound"
	large.later.Store(&sound)
	assert.NilError(t, readAnswer(t.Context(), cli, false))
	cancel()
	wait.Wait()
	assert.Equal(t, cli.Held(), int64(0))
}

// Whatever an engine sends, for as long as it is read: no more is read than the bounds allow, and nothing stays held.
func TestAnyAnswerEndsWithinBounds(t *testing.T) {
	parts := []string{signed, stray, "\r\n", chunked, "Content-Length: 9\r\n\r\n", "5\r\nid: 1\r\n", "0\r\n\r\n", "data: x\n\n", "HTTP/1.1 103 Hi\r\n", " ", "A", ": ", strings.Repeat("z", 5000), ";"}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := func(name string, least int) string {
			return strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), least, 6).Draw(rt, name), "")
		}
		eng := &scriptedEngine{start: drawn("start", 0), repeated: drawn("repeated", 1)}
		cli := eng.client(t)
		err := readAnswer(t.Context(), cli, rapid.Bool().Draw(rt, "streaming"))
		assert.Assert(rt, eng.read.Load() <= mostRead, "%d bytes read: %v", eng.read.Load(), err)
		assert.Equal(rt, cli.Held(), int64(0))
	})
}
