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
