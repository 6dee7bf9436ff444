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
	// serve replaces server.Serve; nil to use server.Serve.
	serve func(net.Listener, *http.Server) error
}

func (lsr listener) serveOn(lis net.Listener) error {
	if lsr.serve != nil {
		return lsr.serve(lis, lsr.server)
	}
	return lsr.server.Serve(lis)
}

// metricsListener is the name of the only listener that a host can run without.
const metricsListener = "MetricsAddress"

// liveness closes connections whose client or host has not responded for Limit: by then the client
// of a stream has given up, and the engine would generate an answer that is not read.
var liveness = transport.Liveness{Limit: 2500 * time.Millisecond}

func (hos *Host) serve(ctx context.Context) error {
	peers := peer.NewServer(peer.ServerConfig{Sessions: hos.broker, Mirror: hos.mirror, Followed: hos.metrics.recordFollowed, Forwarder: forwarder{host: hos}, Security: hos.security(), Timing: peerTiming})
	peerServer := peers.HTTPServer()
	peerServer.ErrorLog = log.New(serverErrorLog{log: hos.log}, "", 0)
	listeners := []listener{
		{name: "CallerAddress", address: hos.set.CallerAddress, server: hos.clientServer()},
		{name: "ReadyAddress", address: hos.set.ReadyAddress, server: newPlainServer(hos.readyHandler())},
		{name: "DirectoryAddress", address: hos.set.DirectoryAddress, server: newPlainServer(hos.directoryHandler())},
		{name: "PeerAddress", address: hos.set.PeerAddress, server: peerServer, serve: peers.Serve},
		{name: metricsListener, address: hos.set.MetricsAddress, server: newPlainServer(hos.metricsHandler())},
	}
	for _, lsr := range listeners {
		lis, err := liveness.Listen(ctx, lsr.address)
		if err != nil && lsr.name == metricsListener {
			// Clients need no metrics: a host without them is better than none.
			hos.log.Warn().Err(err).Msg("metrics address can't be used, serving no metrics")
			continue
		}
		if err != nil {
			return errors.Wrap(err, lsr.name)
		}
		hos.servers = append(hos.servers, lsr.server)
		hos.tasks.Run(lsr.name, func() error { return task.IgnoreServerClosed(lsr.serveOn(lis)) })
	}
	return nil
}
