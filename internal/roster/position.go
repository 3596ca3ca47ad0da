package roster

import "fennelyard/internal/schema"

// Position is how far somebody knows a leader's roster. The zero value knows nothing.
type Position struct {
	// Term is the leader's, which numbers the changes of its roster.
	Term, Change uint64
}

// MaxPosition is further than any roster comes.
var MaxPosition = Position{Term: ^uint64(0), Change: ^uint64(0)}

// PositionOf returns a position that was told.
func PositionOf(m *schema.RosterPosition) Position { return Position{m.GetTerm(), m.GetChange()} }

// Message returns the position as it is told.
func (p Position) Message() *schema.RosterPosition {
	return &schema.RosterPosition{Term: p.Term, Change: p.Change}
}

// Before reports whether another position knows more.
func (p Position) Before(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Change < q.Change
}
