package control

import (
	"fennelyard/internal/schema"
)

// Founds reports whether a host with an empty disk may found the group.
func Founds(self string, founding bool, seeds ...string) bool {
	g := &Group{cfg: Config{
		Self: &schema.HostSettings{Name: self, PeerAddress: self}, Bootstrap: founding, Seeds: func() []string { return seeds },
	}}
	return g.isFounder()
}
