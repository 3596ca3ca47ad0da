package roster

import "fennelyard/internal/schema"

// Position is a point in a leader's roster: a copy at a position has all changes up to it.
// The zero value is before every change.
type Position struct {
	// Term is the term of the leader, which numbers the changes of its roster.
	Term, Change uint64
}

// MaxPosition is after every position that a roster reaches.
var MaxPosition = Position{Term: ^uint64(0), Change: ^uint64(0)}

// PositionOf returns the position in a message.
func PositionOf(m *schema.RosterPosition) Position { return Position{m.GetTerm(), m.GetChange()} }

// Message returns the position as a message.
func (p Position) Message() *schema.RosterPosition {
	return &schema.RosterPosition{Term: p.Term, Change: p.Change}
}

// Before reports whether p is an earlier position than q.
func (p Position) Before(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Change < q.Change
}
