package role

import (
	"context"

	"fennelyard/internal/schema"
)

// RecordDeparture commits a departure as a call does whose caller is gone by
// then: the roster is not told.
func (c *Control) RecordDeparture(id string) error {
	return c.commit(context.Background(), &schema.Command{Body: &schema.Command_DepartServer{
		DepartServer: &schema.DepartServer{Server: id},
	}})
}

// Voters returns the number of voters if this host leads.
func (c *Control) Voters() (n int, leads bool) {
	s := c.group.Status()
	for _, m := range s.Membership.GetMembers() {
		if !m.GetLearner() {
			n++
		}
	}
	return n, s.Current
}

// Votes reports whether this host is a voter, as far as it knows.
func (c *Control) Votes() bool {
	s := c.group.Status()
	for _, m := range s.Membership.GetMembers() {
		if m.GetId() == s.ID {
			return !m.GetLearner()
		}
	}
	return false
}
