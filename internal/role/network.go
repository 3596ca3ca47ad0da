package role

import (
	"context"
	"net"
)

// Network is how a host listens and connects to other hosts of the deployment. The zero
// value uses TCP.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	// Dial is nil for TCP with the transport's defaults.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (n *Network) setDefaults() {
	if n.Listen == nil {
		n.Listen = net.Listen
	}
}
