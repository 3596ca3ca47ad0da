package gateway

import "fennelyard/internal/schema"

// Configure takes changes in as from the leader.
func (g *Gateway) Configure(c *schema.Changes) { g.configure(c) }

// Believe takes servers in as from the leader.
func (g *Gateway) Believe(settled bool, views ...*schema.RosterServer) {
	named := map[string]bool{}
	for _, v := range views {
		named[v.GetId()] = true
	}
	g.fleet.update(views, settled, named)
}

// Servers returns the number of servers known.
func (g *Gateway) Servers() int { return g.fleet.count() }
