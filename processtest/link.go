package processtest

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Link is a TCP proxy to a target. A test can cut, silence or delay it.
type Link struct {
	Address netip.AddrPort
	target  netip.AddrPort
	lis     net.Listener
	mutex   sync.Mutex
	// cut closes new connections at once.
	cut bool
	// silentOut drops the bytes sent to the target, silentBack those sent by the target.
	silentOut  bool
	silentBack bool
	delay      time.Duration
	// open holds both connections of each proxied pair.
	open map[net.Conn]bool
	// mute holds the connections to which no bytes are written any more.
	mute map[net.Conn]bool
}

// NewLink starts a link to the target. It is closed at the end of the test.
func NewLink(t *testing.T, target netip.AddrPort) *Link {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	lnk := &Link{
		Address: netip.MustParseAddrPort(lis.Addr().String()), target: target, lis: lis, open: make(map[net.Conn]bool), mute: make(map[net.Conn]bool),
	}
	end := make(chan struct{})
	go func() {
		lnk.accept()
		close(end)
	}()
	t.Cleanup(func() {
		_ = lis.Close()
		lnk.Cut()
		<-end
	})
	return lnk
}

// Cut closes all connections and closes new ones at once.
func (lnk *Link) Cut() {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.cut = true
	for con := range lnk.open {
		_ = con.Close()
	}
	clear(lnk.open)
}

// Restore ends a cut, silence or delay; connections that SilenceOpen has silenced stay so.
// It closes the open connections of a link that Silence has silenced, since bytes are
// missing in their streams.
func (lnk *Link) Restore() {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	if lnk.silentOut || lnk.silentBack {
		for con := range lnk.open {
			_ = con.Close()
		}
		clear(lnk.open)
	}
	lnk.cut, lnk.silentOut, lnk.silentBack, lnk.delay = false, false, false, 0
}

// Silence drops the bytes sent to the target, those sent by the target, or both.
// Connections stay open.
func (lnk *Link) Silence(out, back bool) {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.silentOut, lnk.silentBack = out, back
}

// SilenceOpen permanently drops all bytes on the connections that are open now. New
// connections work.
func (lnk *Link) SilenceOpen() {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	for con := range lnk.open {
		lnk.mute[con] = true
	}
}

// Delay delays each chunk of bytes by the duration, in both directions.
func (lnk *Link) Delay(wait time.Duration) {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.delay = wait
}

// Reset closes all connections and ends a cut, silence or delay, so that new connections
// work.
func (lnk *Link) Reset() {
	lnk.Cut()
	lnk.Restore()
}

func (lnk *Link) accept() {
	for {
		con, err := lnk.lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", lnk.target.String())
		if err != nil || !lnk.add(con, out) {
			_ = con.Close()
			continue
		}
		go lnk.pipe(con, out, false)
		go lnk.pipe(out, con, true)
	}
}

// add registers the connections from the client and to the target. While the link is cut,
// it closes the connection to the target and returns false.
func (lnk *Link) add(con, out net.Conn) bool {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	if lnk.cut {
		_ = out.Close()
		return false
	}
	lnk.open[con], lnk.open[out] = true, true
	return true
}

// pipeBytes is the size of the buffer of a pipe.
const pipeBytes = 16 << 10

// pipe forwards bytes in one direction until either connection is closed; outward means to
// the target.
func (lnk *Link) pipe(to, from net.Conn, outward bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, pipeBytes)
	for {
		num, err := from.Read(buf)
		if err != nil || !lnk.pass(to, buf[:num], outward) {
			return
		}
	}
}

// pass forwards, delays or drops bytes according to the link's current state. It returns
// false if the bytes can't be written.
func (lnk *Link) pass(to net.Conn, data []byte, outward bool) bool {
	lnk.mutex.Lock()
	silent, wait := lnk.silentBack, lnk.delay
	if outward {
		silent = lnk.silentOut
	}
	silent = silent || lnk.mute[to]
	lnk.mutex.Unlock()
	if silent {
		return true
	}
	if wait > 0 {
		<-time.After(wait)
	}
	_, err := to.Write(data)
	return err == nil
}
