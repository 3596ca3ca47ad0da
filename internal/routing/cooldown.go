package routing

import (
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/cooldown"
	"fennelyard/internal/incarnation"
)

// ErrCooldown means that a request was not sent because its server has asked for a cooldown since it
// was selected. It wraps ErrNotRun.
var ErrCooldown = errors.Newf("the server has asked for a cooldown: %w", ErrNotRun)

// ServerKey returns the key of the candidate's incarnation.
func (c Candidate) ServerKey() string {
	return incarnation.Name{Server: c.Server, StartMs: int64(c.Incarnation)}.String()
}

// Admit reports whether a request may be sent to a candidate that Pick returned, and takes its place
// after a cooldown.
func (t *Table) Admit(now time.Time, c Candidate) bool { return t.cooldowns.Admit(c.ServerKey(), now) }

// Cooldown returns how long no request may be sent to an incarnation for its cooldown.
func (t *Table) Cooldown(now time.Time, server string) time.Duration {
	return t.cooldowns.Remaining(server, now)
}

// AvailableIn returns the time until the first of some candidates takes a request, as far as
// cooldowns are concerned, and how many take one now.
func (t *Table) AvailableIn(now time.Time, candidates []Candidate) (first time.Duration, available int) {
	for i, c := range candidates {
		wait := t.cooldowns.AvailableIn(c.ServerKey(), now)
		if wait == 0 {
			available++
		}
		if i == 0 || wait < first {
			first = wait
		}
	}
	return first, available
}

// ObserveStatement applies the wait that the response to a request that was sent to a candidate at
// sentAt states. It returns how long no request is sent there, 0 if requests are, and whether that
// has changed.
func (t *Table) ObserveStatement(now time.Time, c Candidate, s cooldown.Statement, sentAt time.Time) (wait time.Duration, changed bool) {
	if s.Wait == 0 {
		return 0, t.cooldowns.Responded(c.ServerKey(), sentAt)
	}
	return t.ObserveCooldown(now, c, s.Wait, sentAt), true
}

// ObserveCooldown applies a wait that the response to a request which was sent to a candidate at sentAt
// states, and returns how long no request is sent there.
func (t *Table) ObserveCooldown(now time.Time, c Candidate, wait time.Duration, sentAt time.Time) time.Duration {
	return t.cooldowns.Observe(c.ServerKey(), wait, sentAt, now).Sub(now)
}
