package processtest

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Link is a connection's way that a test can cut.
type Link struct {
	Address netip.AddrPort
	target  netip.AddrPort
	lis     net.Listener
	mutex   sync.Mutex
	cut     bool
	// silent swallows bytes: those sent out, those that come back, or both.
	silentOut  bool
	silentBack bool
	delay      time.Duration
	open       map[net.Conn]bool
	// mute are connections that swallow everything from now on.
	mute map[net.Conn]bool
}

// NewLink returns a link to the target; it ends with the test.
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

// Cut ends every connection and refuses new ones.
func (lnk *Link) Cut() {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.cut = true
	for con := range lnk.open {
		_ = con.Close()
	}
	clear(lnk.open)
}

// Restore lets connections through again. Those on which bytes were swallowed
// are ended, since they are no use any more.
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

// Silence swallows what is sent out, what comes back, or both.
func (lnk *Link) Silence(out, back bool) {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.silentOut, lnk.silentBack = out, back
}

// SilenceOpen has the connections that are open now swallow everything for good;
// new ones work.
func (lnk *Link) SilenceOpen() {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	for con := range lnk.open {
		lnk.mute[con] = true
	}
}

// Delay holds what passes up.
func (lnk *Link) Delay(wait time.Duration) {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.delay = wait
}

// Reset ends every connection; new ones are let through.
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

// add takes note of a connection; it returns false while the link is cut.
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

// pipeBytes is how much passes at a time.
const pipeBytes = 16 << 10

// pipe passes bytes on until either end is closed.
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

// pass passes some bytes on as the link is just now.
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
