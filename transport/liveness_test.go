package transport_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/transport"
)

// option returns the value of a socket option of a connection.
func option(t *testing.T, con net.Conn, level, name int) int {
	t.Helper()
	raw, err := con.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var value int
	var serr error
	assert.NilError(t, raw.Control(func(fd uintptr) { value, serr = unix.GetsockoptInt(int(fd), level, name) }))
	assert.NilError(t, serr)
	return value
}

func TestDialedAndAcceptedConnectionsHaveLivenessOptions(t *testing.T) {
	liv := transport.Liveness{Limit: 700 * time.Millisecond}
	lis, err := liv.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	defer lis.Close()
	dialed, err := liv.Dialer(time.Second).DialContext(t.Context(), "tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer dialed.Close()
	accepted, err := lis.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	for name, con := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, option(t, con, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 700)
			assert.Equal(t, option(t, con, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
			assert.Equal(t, option(t, con, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 1)
			assert.Equal(t, option(t, con, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), 1)
			assert.Equal(t, option(t, con, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), 2)
		})
	}
}

func TestListenOnAddressInUseIsError(t *testing.T) {
	liv := transport.Liveness{Limit: time.Second}
	lis, err := liv.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	defer lis.Close()
	_, err = liv.Listen(t.Context(), netip.MustParseAddrPort(lis.Addr().String()))
	assert.ErrorContains(t, err, "in use")
}
