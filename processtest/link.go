package processtest

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Link is a connection's way that a test can cut.
type Link struct {
	Address netip.AddrPort
	target  netip.AddrPort
	lis     net.Listener
	mutex   sync.Mutex
	cut     bool
	open    map[net.Conn]bool
}

// NewLink returns a link to the target; it ends with the test.
func NewLink(t *testing.T, target netip.AddrPort) *Link {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	lnk := &Link{
		Address: netip.MustParseAddrPort(lis.Addr().String()), target: target, lis: lis, open: make(map[net.Conn]bool),
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

// Restore lets connections through again.
func (lnk *Link) Restore() {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.cut = false
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
		go pipe(con, out)
		go pipe(out, con)
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

func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}
