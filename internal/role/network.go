package role

import (
	"context"
	"net"

	"fennelyard/internal/tcp"
)

// Network is how a host listens and connects to other hosts of the deployment. The zero
// value uses TCP.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	// Dial is nil for TCP: with gRPC's defaults to control hosts, and with those of package tcp to
	// other hosts.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// listenHosts is how a host listens for tunnels of other hosts.
	listenHosts func(network, address string) (net.Listener, error)
}

func (n *Network) setDefaults() {
	n.listenHosts = n.Listen
	if n.Listen == nil {
		n.Listen, n.listenHosts = net.Listen, tcp.Listen
	}
}

// dial returns how this host connects to others except over gRPC.
func (n *Network) dial() func(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial == nil {
		return tcp.Dial
	}
	return n.Dial
}
