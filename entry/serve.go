package entry

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/transport"
)

// listener is one address that the host serves.
type listener struct {
	name    string
	address netip.AddrPort
	server  *http.Server
	// serve serves in another way than the server itself; nil for that.
	serve func(net.Listener, *http.Server) error
}

func (lis listener) serveOn(open net.Listener) error {
	if lis.serve != nil {
		return lis.serve(open, lis.server)
	}
	return lis.server.Serve(open)
}

// metricsListener names the one address that a host can do without.
const metricsListener = "MetricsAddress"

// liveness ends connections of callers and hosts that went silent for good: by
// then a caller of a stream has left, and an engine would work for nobody.
var liveness = transport.Liveness{Limit: 2500 * time.Millisecond}

func (hos *Host) serve(ctx context.Context) error {
	peers := peer.NewServer(peer.ServerConfig{Sessions: hos.desk, Mirror: hos.mirror, Security: hos.security(), Timing: peerTiming})
	peerServer := peers.HTTPServer()
	peerServer.ErrorLog = log.New(serverErrors{log: hos.log}, "", 0)
	all := []listener{
		{name: "CallerAddress", address: hos.set.CallerAddress, server: hos.callerServer()},
		{name: "ReadyAddress", address: hos.set.ReadyAddress, server: plainServer(hos.readyHandler())},
		{name: "DirectoryAddress", address: hos.set.DirectoryAddress, server: plainServer(hos.directoryHandler())},
		{name: "PeerAddress", address: hos.set.PeerAddress, server: peerServer, serve: peers.Serve},
		{name: metricsListener, address: hos.set.MetricsAddress, server: plainServer(hos.metricsHandler())},
	}
	for _, one := range all {
		lis, err := liveness.Listen(ctx, one.address)
		if err != nil && one.name == metricsListener {
			// Callers need no figures: a host without them is better than none.
			hos.log.Warn().Err(err).Msg("no figures are told, their address can't be used")
			continue
		}
		if err != nil {
			return errors.Wrap(err, one.name)
		}
		hos.servers = append(hos.servers, one.server)
		hos.tasks.Run(one.name, func() error { return task.Served(one.serveOn(lis)) })
	}
	return nil
}
