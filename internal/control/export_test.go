package control

import (
	"fennelyard/internal/schema"
)

// MayBootstrap reports whether a host with an empty disk may bootstrap the group.
func MayBootstrap(self string, bootstrap bool, seeds ...string) bool {
	g := &Group{cfg: Config{
		Self: &schema.HostSettings{Name: self, PeerAddress: self}, Bootstrap: bootstrap, Seeds: func() []string { return seeds },
	}}
	return g.mayBootstrap()
}

// Transport exports transport.
type Transport struct{ t *transport }

// NewTransport returns a transport that reports members to unreachable.
func NewTransport(cfg Config, unreachable func(id uint64)) Transport {
	return Transport{newTransport(cfg, unreachable)}
}

// Send exports send, and Stop stop.
func (t Transport) Send(to *schema.Member, messages ...*schema.ConsensusMessage) {
	t.t.send(to, messages)
}

// Stop stops the transport.
func (t Transport) Stop() { t.t.stop() }
