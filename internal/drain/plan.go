// Package drain says what a process that is stopped may still take: what it can finish before it must have
// exited.
package drain

import "time"

// The course of a drain.
const (
	// AcceptFraction is the part of the stop limit in which connections are accepted, unless PlanConfig says
	// otherwise: most callers have a new directory response by then. Requests whose end is only estimated are
	// taken no longer, so that a request may take longer than estimated.
	AcceptFraction = 0.35
	// AbortFraction is the part of the stop limit after which every request gets its final response, and
	// CloseFraction the one after which the process exits: what has not ended by then would be killed a moment
	// later.
	AbortFraction = 0.94
	CloseFraction = 0.97
	// PollInterval is how often a process that drains looks whether everything has ended.
	PollInterval = 50 * time.Millisecond
	// RetryAfter is the Retry-After of requests that a process refuses as it stops: another one serves the
	// caller at once.
	RetryAfter = 50 * time.Millisecond
)

// PlanConfig configures a Plan.
type PlanConfig struct {
	// Start is when the process was asked to stop, and Limit the time within which it must exit.
	Start time.Time
	Limit time.Duration
	// Accept is the time in which connections are accepted; 0 means AcceptFraction of the limit.
	Accept time.Duration
}

// Plan is the course of a drain. It is immutable.
type Plan struct {
	cfg PlanConfig
}

// NewPlan returns a Plan.
func NewPlan(cfg PlanConfig) *Plan {
	if cfg.Accept == 0 {
		cfg.Accept = fractionOf(cfg.Limit, AcceptFraction)
	}
	return &Plan{cfg}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// AcceptUntil returns the time until which connections are accepted.
func (p *Plan) AcceptUntil() time.Time { return p.cfg.Start.Add(p.cfg.Accept) }

// AbortAt returns the time at which every request gets its final response.
func (p *Plan) AbortAt() time.Time { return p.cfg.Start.Add(fractionOf(p.cfg.Limit, AbortFraction)) }

// CloseAt returns the time at which the process exits.
func (p *Plan) CloseAt() time.Time { return p.cfg.Start.Add(fractionOf(p.cfg.Limit, CloseFraction)) }

// LastSend returns the latest time at which a request may be sent to a server so that it ends before AbortAt. It has
// ended at its deadline, and after the time that it is expected to take, 0 if that is not known. A time before the
// start of the drain means never.
func (p *Plan) LastSend(deadline time.Time, expected time.Duration) time.Time {
	switch {
	case !deadline.After(p.AbortAt()):
		return deadline
	case expected <= 0:
		return p.cfg.Start.Add(-1)
	}
	latest := p.AbortAt().Add(-expected)
	if latest.After(p.AcceptUntil()) {
		return p.AcceptUntil()
	}
	return latest
}

// MayResume reports whether a request of whose response a part has been sent may be sent to a server at a time: it is
// cut off otherwise.
func (p *Plan) MayResume(at time.Time) bool { return at.Before(p.AbortAt()) }

// MaySend reports whether a request may be sent to a server at a time.
func (p *Plan) MaySend(at, deadline time.Time, expected time.Duration) bool {
	return !at.After(p.LastSend(deadline, expected))
}
